package main

import "github.com/HdrHistogram/hdrhistogram-go"

// path is one way to the upstream.
type path struct {
	name    string
	address string
	// samples are by concurrency.
	samples map[int]*sample
}

// sample holds the measurements of one path at one concurrency.
type sample struct {
	latency *hdrhistogram.Histogram
	// seconds is the time in which the answers were received.
	seconds float64
	// failed counts answers that are not whole, by their status and reason.
	failed map[string]int
}

const (
	// maxLatencyUS is the greatest latency that a histogram tells apart, in microseconds.
	maxLatencyUS = 60_000_000
	// significantDigits of the histograms.
	significantDigits = 3
)

func newPath(name, address string) *path {
	p := &path{name: name, address: address, samples: map[int]*sample{}}
	for _, callers := range concurrencies {
		p.samples[callers] = &sample{latency: hdrhistogram.New(1, maxLatencyUS, significantDigits), failed: map[string]int{}}
	}
	return p
}

func (s *sample) throughput() float64 {
	if s.seconds == 0 {
		return 0
	}
	return float64(s.latency.TotalCount()) / s.seconds
}
