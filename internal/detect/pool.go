package detect

import (
	"maps"
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// outlierFactor limits the weight of a single target in a comparison, so that one failing target does not hide another.
// It is greater than the differences between targets that share a fault.
const outlierFactor = 2

// outlierCount is the number of outcomes of a class that always count for each target. The first outcomes of a shared
// fault occur at less than half of the targets, so the median share alone would exclude them.
const outlierCount = 2

// others returns the peers of a target that are not suspected.
func (p *Peers) others(self model.TargetID) []*peer {
	var others []*peer
	for _, id := range slices.Sorted(maps.Keys(p.targets)) {
		if other := p.targets[id]; id != self && !other.lastReport.Suspected {
			others = append(others, other)
		}
	}
	return others
}

// pool adds up the counts of the other targets. In each class, the share of one target is limited to outlierFactor
// times the median share, but never below minShares or outlierCount outcomes.
func pool(others []*peer, countsOf func(*peer) Counts) Counts {
	all := make([]Counts, 0, len(others))
	for _, other := range others {
		if counts := countsOf(other); counts.Total() > 0 {
			all = append(all, counts)
		}
	}
	var sum Counts
	for class := Slow; class < classCount; class++ {
		limit := outlierFactor * medianShare(all, class)
		for _, counts := range all {
			total := counts.Total()
			share := min(counts[class]/total, max(limit, minShares[class], outlierCount/total))
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

// medianShare returns the median of the targets' shares of a class, the upper median for an even number of targets.
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

// outcomesSince returns a function that counts a peer's outcomes since start and its requests in flight without
// progress.
func outcomesSince(start time.Duration) func(*peer) Counts {
	return func(p *peer) Counts { return p.observedSince(start).requests.Plus(p.lastReport.Pending) }
}

// healthProbesSince adds up the counts of the other targets since start. Only the health probes among them are used.
func healthProbesSince(others []*peer, start time.Duration) tally {
	var sum tally
	for _, other := range others {
		sum = sum.plus(other.observedSince(start))
	}
	return sum
}

// medianBaselines returns, for each route, the median of the other targets' baseline latencies.
func medianBaselines(others []*peer) map[Route]time.Duration {
	times := make(map[Route][]time.Duration)
	for _, other := range others {
		for route, baseline := range other.lastReport.FirstByte {
			times[route] = append(times[route], baseline)
		}
	}
	medians := make(map[Route]time.Duration, len(times))
	for route, values := range times {
		slices.Sort(values)
		medians[route] = values[len(values)/2]
	}
	return medians
}
