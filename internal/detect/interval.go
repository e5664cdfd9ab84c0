package detect

import (
	"math"
	"slices"
	"time"
)

const (
	// intervals is the number of intervals that are kept of each peer. With merging they cover intervalsAge at an error
	// of about a quarter of the age.
	intervals = 32
	// intervalsAge is the age at which an interval is dropped. It is above the time in which the evidence against a
	// target with little work comes together.
	intervalsAge = 30 * time.Minute
)

// interval is what one peer saw between two updates.
type interval struct {
	begin, end time.Duration
	tally
}

// shorten drops intervals that are too old and merges the pair that is shortest for its age, until few enough are left.
func (p *peer) shorten(now time.Duration) {
	for len(p.recent) > 0 && now-p.recent[0].end > intervalsAge {
		p.recent = p.recent[1:]
	}
	for len(p.recent) > intervals {
		p.merge(p.shortestPair(now))
	}
}

// shortestPair returns the index of the interval that is to be merged into its predecessor. The newest one is not.
func (p *peer) shortestPair(now time.Duration) int {
	best, at := math.Inf(1), 1
	for i := 1; i < len(p.recent)-1; i++ {
		length := p.recent[i].end - p.recent[i-1].begin
		age := now - p.recent[i].end + time.Millisecond
		if share := float64(length) / float64(age); share < best {
			best, at = share, i
		}
	}
	return at
}

// merge adds the interval before i to interval i.
func (p *peer) merge(i int) {
	p.recent[i].begin = p.recent[i-1].begin
	p.recent[i].tally = p.recent[i].plus(p.recent[i-1].tally)
	p.recent = slices.Delete(p.recent, i-1, i)
}
