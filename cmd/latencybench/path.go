package main

import "github.com/HdrHistogram/hdrhistogram-go"

// path is one way to reach the upstream: directly or through two hops.
type path struct {
	name    string
	address string
	// samples maps each concurrency level to its measurements.
	samples map[int]*sample
}

// sample holds the measurements of one path at one concurrency.
type sample struct {
	latency *hdrhistogram.Histogram
	// seconds is the total measured time.
	seconds float64
	// failures counts failed requests by error.
	failures map[string]int
}

const (
	// maxLatencyUS is the upper limit of the histograms in microseconds.
	maxLatencyUS = 60_000_000
	// significantDigits is the resolution of the histograms.
	significantDigits = 3
)

func newPath(name, address string) *path {
	p := &path{name: name, address: address, samples: map[int]*sample{}}
	for _, callers := range concurrencyLevels {
		p.samples[callers] = &sample{latency: hdrhistogram.New(1, maxLatencyUS, significantDigits), failures: map[string]int{}}
	}
	return p
}

func (s *sample) throughput() float64 {
	if s.seconds == 0 {
		return 0
	}
	return float64(s.latency.TotalCount()) / s.seconds
}
