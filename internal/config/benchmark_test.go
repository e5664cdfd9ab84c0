package config

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
)

// benchDocument returns a service document with the given number of routes.
func benchDocument(index, routes int, revision int64) Document {
	service := declaration.Service{Name: model.ServiceName(fmt.Sprintf("service-%04d", index)), FloorSlots: 20}
	for route := range routes {
		service.Routes = append(service.Routes, declaration.Route{
			Methods: []string{"GET"}, Path: fmt.Sprintf("/service-%04d/v1/resource-%02d", index, route), TimeoutMS: 2000,
		})
	}
	value, err := service.Encode()
	if err != nil {
		panic(err)
	}
	return Document{Key: ServicePrefix + string(service.Name), Value: value, Revision: revision}
}

func benchDocuments(count, routes int) []Document {
	documents := make([]Document, count)
	for i := range documents {
		documents[i] = benchDocument(i, routes, int64(i+1))
	}
	return documents
}

// BenchmarkDecode reports the decoding time and the size of one document, by number of routes.
func BenchmarkDecode(b *testing.B) {
	for _, routes := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			documents := []Document{benchDocument(0, routes, 1)}
			for b.Loop() {
				NewTable("config/", 0).Apply(documents)
			}
			b.ReportMetric(float64(len(documents[0].Value)), "B/document")
		})
	}
}

// BenchmarkChange reports the time to apply one change and publish a snapshot, by number of documents in the table.
func BenchmarkChange(b *testing.B) {
	for _, count := range []int{400, 1200, 3800} {
		b.Run(fmt.Sprintf("documents=%d", count), func(b *testing.B) {
			table := NewTable("config/", 0)
			table.ApplyList(benchDocuments(count, 32), int64(count))
			change := benchDocument(count/2, 32, int64(count))
			for b.Loop() {
				change.Revision++
				table.Apply([]Document{change})
				table.Snapshot()
			}
		})
	}
}

// BenchmarkMemory reports the heap per document, decoded and encoded form together, by number of routes.
func BenchmarkMemory(b *testing.B) {
	for _, routes := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			const count = 1000
			for b.Loop() {
				before := heapBytes()
				table := NewTable("config/", 0)
				table.ApplyList(benchDocuments(count, routes), count)
				table.Snapshot()
				b.ReportMetric(float64(heapBytes()-before)/count, "B/held-document")
				runtime.KeepAlive(table)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
