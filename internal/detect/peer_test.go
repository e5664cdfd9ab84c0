package detect

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a comparison with what the other targets saw long before the evidence began, and against memory that
// grows with time. A second's outcome is counted each second, with more updates in between.
func TestPeerKeepsPeriodsApart(t *testing.T) {
	const greatestError = 0.5
	rng := rand.New(rand.NewPCG(7, 8))
	var counts Counts
	p := newPeer(0, Report{})
	for now := time.Second; now < 2*time.Hour; now += time.Second {
		counts[Prompt]++
		p.update(now, 1, Report{Counts: counts})
		if rng.IntN(3) == 0 {
			p.update(now+40*time.Millisecond, 1, Report{Counts: counts})
		}
		if len(p.recent) > intervals {
			t.Fatalf("%d intervals", len(p.recent))
		}
		age := time.Duration(rng.Int64N(int64(min(now, intervalsAge/2)))) + time.Second
		seen := p.seen(now - age).work[Prompt]
		if least := age.Seconds(); seen < least-1 || seen > least*(1+greatestError)+1 {
			t.Fatalf("%g outcomes in the last %v", seen, age)
		}
	}
}
