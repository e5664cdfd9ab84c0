package once

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/sardinereach/sardinereach/internal/admission"
)

// benchSizes are the numbers of entries and the sizes of their answer bodies in bytes.
var benchSizes = []struct{ count, size int }{
	{1_000, 0}, {4_000, 0}, {16_000, 0}, {1_000, 1 << 10}, {200, MaxRecordedBytes},
}

// BenchmarkClaim measures claim, dispatch and record over a store without delay, the size of the claim in the store,
// and the memory that the holder keeps of it for KeepFor.
func BenchmarkClaim(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("answer=%d/entries=%d", s.size, s.count), func(b *testing.B) {
			count, size := s.count, s.size
			ctx := context.Background()
			b.ReportAllocs()
			for b.Loop() {
				memory := newMemory()
				c := NewClaims(&lossyStore{memory: memory}, "node-0001", 1, Options{})
				before := heap(b)
				for i := range count {
					result, err := c.Begin(ctx, testService, fmt.Sprintf("key-%d", i), 1)
					if err != nil || !result.Grant.Dispatched() {
						b.Fatal(err)
					}
					_ = result.Grant.Record(ctx, &admission.Answer{Status: 200, Body: make([]byte, size)})
				}
				stored := 0
				for key, kv := range memory.kvs {
					stored += len(key) + len(kv.Value)
				}
				memory.kvs = nil
				b.ReportMetric(float64(heap(b)-before)/float64(count), "B/claim")
				b.ReportMetric(float64(stored)/float64(count), "stored-B/claim")
				runtime.KeepAlive(c)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(count), "ns/claim")
		})
	}
}

// BenchmarkTicket measures issue, begin and record, and the memory of a ticket's record.
func BenchmarkTicket(b *testing.B) {
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("answer=%d/entries=%d", s.size, s.count), func(b *testing.B) {
			count, size := s.count, s.size
			b.ReportAllocs()
			for b.Loop() {
				before := heap(b)
				tickets := NewTickets("node-0001", 1, []byte("secret"), TicketLimits{})
				for range count {
					result, err := tickets.Begin(0, tickets.Issue(0), 1)
					if err != nil {
						b.Fatal(err)
					}
					tickets.Record(0, result.Ticket, &admission.Answer{Status: 200, Body: make([]byte, size)})
				}
				b.ReportMetric(float64(heap(b)-before)/float64(count), "B/ticket")
				runtime.KeepAlive(tickets)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(count), "ns/ticket")
		})
	}
}

// heap returns the bytes in use, outside of the measured time.
func heap(b *testing.B) uint64 {
	b.StopTimer()
	defer b.StartTimer()
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
