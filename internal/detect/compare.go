package detect

import (
	"maps"
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// outlierFactor bounds the weight of a single target in a comparison, so that one failing target does not hide another.
// It is above the difference between targets that share a trouble.
const outlierFactor = 2

// outlierCount is the number of outcomes of a class that always count, because the first outcomes of a trouble that all
// targets share come to less than half of the targets.
const outlierCount = 2

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

// pool adds up what the other targets saw. In each class, a target counts for at most outlierFactor times the median
// share.
func pool(others []*peer, seen func(*peer) Counts) Counts {
	all := make([]Counts, 0, len(others))
	for _, one := range others {
		if counts := seen(one); counts.Total() > 0 {
			all = append(all, counts)
		}
	}
	var sum Counts
	for class := Slow; class < classes; class++ {
		limit := outlierFactor * medianShare(all, class)
		for _, counts := range all {
			total := counts.Total()
			share := min(counts[class]/total, max(limit, leastShares[class], outlierCount/total))
			sum[class] += share * total
			sum[Prompt] -= share * total
		}
	}
	for _, counts := range all {
		sum[Prompt] += counts.Total()
	}
	sum[Prompt] = max(0, sum[Prompt])
	return sum
}

// medianShare returns the median of the targets' shares of a class; the greater one of two.
func medianShare(all []Counts, class Class) float64 {
	if len(all) == 0 {
		return 0
	}
	shares := make([]float64, len(all))
	for i, counts := range all {
		shares[i] = counts[class] / counts.Total()
	}
	slices.Sort(shares)
	return shares[len(shares)/2]
}

// sinceStart returns what a peer saw since a time, with its requests in flight that do not progress.
func sinceStart(start time.Duration) func(*peer) Counts {
	return func(p *peer) Counts { return p.seen(start).work.Plus(p.last.Pending) }
}

// probesSince adds up the probes of the other targets since a time.
func probesSince(others []*peer, start time.Duration) tally {
	var sum tally
	for _, one := range others {
		sum = sum.plus(one.seen(start))
	}
	return sum
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
