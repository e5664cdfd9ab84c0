package detect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// trimmedShare is the share of the peers, the worst ones, that is left out of a comparison, so that one failing target
// does not hide another.
const trimmedShare = 0.25

// others returns the peers of a target that are not suspected.
func (p *Peers) others(self model.TargetID) []*peer {
	var others []*peer
	for _, id := range slices.Sorted(maps.Keys(p.targets)) {
		if one := p.targets[id]; id != self && !one.last.Suspect {
			others = append(others, one)
		}
	}
	return others
}

// pool returns what the other targets saw since start, without the worst ones.
func pool(others []*peer, start time.Duration) tally {
	seen := make([]tally, len(others))
	for i, one := range others {
		seen[i] = one.seen(start)
	}
	slices.SortStableFunc(seen, compareBad)
	keep := len(seen) - int(trimmedShare*float64(len(seen)))
	var sum tally
	for _, one := range seen[:keep] {
		sum = sum.plus(one)
	}
	return sum
}

// compareBad orders tallies by their share of bad outcomes.
func compareBad(a, b tally) int {
	return cmp.Compare(a.work.bad()/(a.work.Total()+1), b.work.bad()/(b.work.Total()+1))
}

// usualTimes returns, for each route, the median of the other targets' usual time to the first byte.
func usualTimes(others []*peer) map[Route]time.Duration {
	times := make(map[Route][]time.Duration)
	for _, one := range others {
		for route, usual := range one.last.FirstByte {
			times[route] = append(times[route], usual)
		}
	}
	medians := make(map[Route]time.Duration, len(times))
	for route, values := range times {
		slices.Sort(values)
		medians[route] = values[len(values)/2]
	}
	return medians
}
