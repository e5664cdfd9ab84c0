package admission

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// benchInterval is the time between two attempts at one node at the fleet size that the project is designed for.
const benchInterval = 2 * time.Millisecond

// BenchmarkAdmitFinish measures one attempt including its record and the expiry, by the number of local targets.
func BenchmarkAdmitFinish(b *testing.B) {
	for _, targets := range []int{3, 30, 300} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) { benchmarkAdmitFinish(b, targets) })
	}
}

func benchmarkAdmitFinish(b *testing.B, targets int) {
	p := NewPoint(DefaultLimits(), testIncarnation)
	now := time.Duration(0)
	announce := func() {
		for i := range targets {
			_ = p.Announce(now, Announcement{
				Service: testService, Target: model.TargetID(fmt.Sprint(i)), Address: "127.0.0.1:1", Slots: 7, Phase: model.PhaseReady,
			})
		}
	}
	announce()
	attempts := make([]model.AttemptID, b.N)
	for i := range attempts {
		attempts[i] = model.NewAttemptID("node-0001", 1, uint64(i))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i, attempt := range attempts {
		now += benchInterval
		r := Request{
			Attempt: attempt, Service: testService, Target: "1", Incarnation: testIncarnation,
			AdmitBefore: now + time.Second, Deadline: now + time.Second,
		}
		if d := p.Admit(now, r); d.Kind != Admitted {
			b.Fatalf("%+v", d)
		}
		p.Finish(now, attempt, Result{Outcome: Answered})
		if i%500 == 0 {
			announce()
			p.Expire(now)
		}
	}
}

// BenchmarkRecordMemory measures the memory of a running and of an ended attempt.
func BenchmarkRecordMemory(b *testing.B) {
	for _, ended := range []bool{false, true} {
		for _, count := range []int{1_000, 10_000, 60_000} {
			b.Run(fmt.Sprintf("ended=%v/records=%d", ended, count), func(b *testing.B) {
				for b.Loop() {
					before := heapBytes()
					p := newLoadedPoint(b, count, ended)
					b.ReportMetric(float64(heapBytes()-before)/float64(count), "B/record")
					runtime.KeepAlive(p)
				}
			})
		}
	}
}

func newLoadedPoint(b *testing.B, count int, ended bool) *Point {
	limits := DefaultLimits()
	limits.RampDuration = 0
	p := NewPoint(limits, testIncarnation)
	a := Announcement{Service: testService, Target: "a", Address: "127.0.0.1:1", Slots: count, Phase: model.PhaseReady}
	if err := p.Announce(0, a); err != nil {
		b.Fatal(err)
	}
	for i := range uint64(count) {
		r := testRequest(0, i, time.Second)
		r.Attempt = model.NewAttemptID("node-0001", 1, i)
		p.Admit(0, r)
		if ended {
			p.Finish(0, r.Attempt, Result{Outcome: Answered})
		}
	}
	return p
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
