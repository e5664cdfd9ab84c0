package once

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/sardinereach/sardinereach/internal/admission"
)

// benchSizes are the numbers of entries and the sizes of their response bodies in bytes.
var benchSizes = []struct{ count, size int }{
	{1_000, 0}, {4_000, 0}, {16_000, 0}, {1_000, 1 << 10}, {200, MaxRecordedBytes},
}

// BenchmarkClaim measures the time to claim, dispatch and record with a store without delay, the size of a claim in the
// store, and the memory that a claim takes in the holder's cache for Options.OperationTTL.
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
					if err != nil || !result.Grant.BeginDispatch() {
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

// BenchmarkTicket measures the time to issue, begin and record a ticket, and the memory of its record.
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

// heap returns the heap bytes in use after a garbage collection. The timer is stopped meanwhile.
func heap(b *testing.B) uint64 {
	b.StopTimer()
	defer b.StartTimer()
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
