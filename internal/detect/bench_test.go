package detect

import (
	"math/rand/v2"
	"testing"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// BenchmarkObserve measures what each request costs its admitting node.
func BenchmarkObserve(b *testing.B) {
	s := newService(declaration.PresetDala)
	serve := serial{rng: rand.New(rand.NewPCG(5, 6)), failures: 0.01, factor: 1}
	outcomes := make([]Outcome, 4096)
	for i := range outcomes {
		outcomes[i] = serve.draw()
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s.now += step
		s.detector.Observe(s.now, outcomes[i%len(outcomes)])
	}
}

// BenchmarkBaseline measures what each exchange costs for each target.
func BenchmarkBaseline(b *testing.B) {
	s := newService(declaration.PresetDala)
	for range 3 {
		s.outcome(failed, prompt)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.detector.Baseline(s.now, self, s.peers)
	}
}
