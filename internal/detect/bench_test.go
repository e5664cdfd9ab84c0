package detect

import (
	"math/rand/v2"
	"testing"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// BenchmarkObserve measures the cost of each request at its admitting node.
func BenchmarkObserve(b *testing.B) {
	s := newService(declaration.PresetDala)
	source := outcomeSource{rng: rand.New(rand.NewPCG(5, 6)), failureShare: 0.01, latencyFactor: 1}
	outcomes := make([]Outcome, 4096)
	for i := range outcomes {
		outcomes[i] = source.draw()
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.now += step
		s.detector.Observe(s.now, outcomes[i%len(outcomes)])
	}
}

// BenchmarkCompareWithPeers measures the cost of each update of peers for each target.
func BenchmarkCompareWithPeers(b *testing.B) {
	s := newService(declaration.PresetDala)
	for range 3 {
		s.outcome(failed, prompt)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.detector.CompareWithPeers(s.now, self, s.peers)
	}
}
