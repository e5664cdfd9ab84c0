package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowestLatency and highestLatency are the range of a histogram. Values outside it count as the nearer bound.
	lowestLatency  = 10 * time.Microsecond
	highestLatency = 10 * time.Minute
	// significantDigits is 2, which keeps the error under 1% and the size of a histogram at about 20 KB.
	significantDigits = 2
)

// latency holds the histograms of one service for the current and the previous window. A mutex is enough: a node handles
// hundreds of requests a second, and recording a value takes well under a microsecond.
type latency struct {
	mu       sync.Mutex
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
}

func newLatency() *latency {
	return &latency{current: newHistogram(), previous: newHistogram()}
}

// newHistogram returns a histogram in units of lowestLatency.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(highestLatency/lowestLatency), significantDigits)
}

func (l *latency) record(d time.Duration) {
	units := int64(min(max(d, lowestLatency), highestLatency) / lowestLatency)
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue cannot fail, because the value is inside the histogram's range.
	_ = l.current.RecordValue(units)
}

func (l *latency) rotate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current, l.previous = l.previous, l.current
	l.current.Reset()
}

func (l *latency) summary() Summary {
	merged := newHistogram()
	l.mu.Lock()
	merged.Merge(l.previous)
	merged.Merge(l.current)
	l.mu.Unlock()
	return Summary{
		Count: merged.TotalCount(),
		P50:   time.Duration(merged.ValueAtQuantile(50)) * lowestLatency,
		P99:   time.Duration(merged.ValueAtQuantile(99)) * lowestLatency,
		Max:   time.Duration(merged.Max()) * lowestLatency,
	}
}
