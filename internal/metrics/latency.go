package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowestLatency and highestLatency bound what a histogram tells apart; others count as the nearer bound.
	lowestLatency  = 10 * time.Microsecond
	highestLatency = 10 * time.Minute
	// significantDigits of 2 keeps the error under 1% and a histogram at about 20 KB.
	significantDigits = 2
)

// latency holds the histograms of one service. A mutex is enough: a node handles hundreds of requests a second, and a
// recording takes well under a microsecond.
type latency struct {
	mu      sync.Mutex
	present *hdrhistogram.Histogram
	last    *hdrhistogram.Histogram
}

func newLatency() *latency {
	return &latency{present: newHistogram(), last: newHistogram()}
}

// newHistogram counts in units of lowestLatency.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(highestLatency/lowestLatency), significantDigits)
}

func (l *latency) record(d time.Duration) {
	units := int64(min(max(d, lowestLatency), highestLatency) / lowestLatency)
	l.mu.Lock()
	defer l.mu.Unlock()
	// The value is inside the histogram's range, so that RecordValue cannot fail.
	_ = l.present.RecordValue(units)
}

func (l *latency) rotate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.present, l.last = l.last, l.present
	l.present.Reset()
}

func (l *latency) summary() Summary {
	merged := newHistogram()
	l.mu.Lock()
	merged.Merge(l.last)
	merged.Merge(l.present)
	l.mu.Unlock()
	return Summary{
		Count: merged.TotalCount(),
		P50:   time.Duration(merged.ValueAtQuantile(50)) * lowestLatency,
		P99:   time.Duration(merged.ValueAtQuantile(99)) * lowestLatency,
		Max:   time.Duration(merged.Max()) * lowestLatency,
	}
}
