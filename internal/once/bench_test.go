package once

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/sardinereach/sardinereach/internal/admission"
)

// answerSizes are the sizes of the answer bodies in bytes.
var answerSizes = []int{0, 1 << 10, MaxRecordedBytes}

// BenchmarkClaim measures claim, dispatch and record over a store without delay, the size of the claim in the store,
// and the memory that the holder keeps of it for KeepFor.
func BenchmarkClaim(b *testing.B) {
	for _, size := range answerSizes {
		b.Run(fmt.Sprintf("answer=%d", size), func(b *testing.B) {
			const count = 200
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
				clear(memory.kvs)
				b.ReportMetric(float64(heap(b)-before)/count, "B/claim")
				b.ReportMetric(float64(stored)/count, "stored-B/claim")
				runtime.KeepAlive(c)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/count, "ns/claim")
		})
	}
}

// BenchmarkTicket measures issue, begin and record, and the memory of a ticket's record.
func BenchmarkTicket(b *testing.B) {
	for _, size := range answerSizes {
		b.Run(fmt.Sprintf("answer=%d", size), func(b *testing.B) {
			const count = 200
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
				b.ReportMetric(float64(heap(b)-before)/count, "B/ticket")
				runtime.KeepAlive(tickets)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/count, "ns/ticket")
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
