package detect

import (
	"math"
	"slices"
	"time"
)

const (
	// maxIntervals is the number of intervals that are kept for each peer. With merging, they cover maxIntervalAge with
	// an error of about a quarter of the age.
	maxIntervals = 32
	// maxIntervalAge is the age at which an interval is removed. It is longer than the time that evidence against a
	// target with little traffic takes to accumulate.
	maxIntervalAge = 30 * time.Minute
)

// interval holds the counts of one peer between two updates.
type interval struct {
	begin, end time.Duration
	tally
}

// compact removes intervals that are too old. It then merges the pair that is shortest relative to its age until at
// most maxIntervals are left.
func (p *peer) compact(now time.Duration) {
	for len(p.recent) > 0 && now-p.recent[0].end > maxIntervalAge {
		p.recent = p.recent[1:]
	}
	for len(p.recent) > maxIntervals {
		p.merge(p.shortestPair(now))
	}
}

// shortestPair returns the index of the interval to merge with its predecessor. It never returns the newest interval.
func (p *peer) shortestPair(now time.Duration) int {
	best, index := math.Inf(1), 1
	for i := 1; i < len(p.recent)-1; i++ {
		length := p.recent[i].end - p.recent[i-1].begin
		age := now - p.recent[i].end + time.Millisecond
		if share := float64(length) / float64(age); share < best {
			best, index = share, i
		}
	}
	return index
}

// merge merges the interval before i into interval i.
func (p *peer) merge(i int) {
	p.recent[i].begin = p.recent[i-1].begin
	p.recent[i].tally = p.recent[i].plus(p.recent[i-1].tally)
	p.recent = slices.Delete(p.recent, i-1, i)
}
