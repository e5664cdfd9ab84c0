package detect

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a comparison with outcomes from long before the evidence began, and against memory use that grows with
// time. One outcome is counted each second, with additional updates in between.
func TestPeerKeepsPeriodsApart(t *testing.T) {
	const maxError = 0.5
	rng := rand.New(rand.NewPCG(7, 8))
	var counts Counts
	p := newPeer(0, Report{})
	for now := time.Second; now < 2*time.Hour; now += time.Second {
		counts[Prompt]++
		p.update(now, 1, Report{Counts: counts})
		if rng.IntN(3) == 0 {
			p.update(now+40*time.Millisecond, 1, Report{Counts: counts})
		}
		if len(p.recent) > maxIntervals {
			t.Fatalf("%d intervals", len(p.recent))
		}
		age := time.Duration(rng.Int64N(int64(min(now, maxIntervalAge/2)))) + time.Second
		observed := p.observedSince(now - age).requests[Prompt]
		if least := age.Seconds(); observed < least-1 || observed > least*(1+maxError)+1 {
			t.Fatalf("%g outcomes in the last %v", observed, age)
		}
	}
}
