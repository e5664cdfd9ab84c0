package node

import "time"

const (
	// hedgeDelayFactor is the multiple of the baseline duration after which a request is hedged without a report from the
	// admitting node. That node reports an overdue run earlier; this covers paths on which no frames arrive.
	hedgeDelayFactor = 3
	// minHedgeDelay prevents short delays from causing a hedge.
	minHedgeDelay = 150 * time.Millisecond
	// noBaselineShare is the share of the latency objective that is assumed as the baseline of a route without one.
	noBaselineShare = 0.2
	// refusedHedgeInterval is the time after which a refused hedge is tried again because a node stops. Other nodes that stop at
	// the same time refuse it until they have restarted.
	refusedHedgeInterval = 300 * time.Millisecond
)

// baselineOrDefault returns the baseline duration of a route's attempts, from the admission request to the complete
// response. average is the average of these durations, 0 if there is none.
func baselineOrDefault(average, objective time.Duration) time.Duration {
	if average == 0 {
		return time.Duration(noBaselineShare * float64(objective))
	}
	return average
}

// hedgeDelay returns how long an attempt may take before its request is hedged.
func hedgeDelay(baseline time.Duration) time.Duration {
	return max(hedgeDelayFactor*baseline, minHedgeDelay)
}

// hedgeDelayBeforeCutoff returns how much longer an attempt may take before its request is hedged, because its node is
// stopping. elapsed is the time that the attempt has taken, remaining the time until the cutoff of the shutdown. The hedge
// gets the time after which an attempt is overdue. If that is not left, the first attempt gets its baseline duration, but
// at most half of the remaining time.
func hedgeDelayBeforeCutoff(baseline, elapsed, remaining time.Duration) time.Duration {
	return max(remaining-hedgeDelay(baseline), min(baseline-elapsed, remaining/2), 0)
}

// hedgeDelayBeforeNodeEnds returns how much longer an attempt may take before its request is hedged, because its admitting node
// ends the attempt after the given time. The hedge gets the baseline duration. The request itself goes on after that.
func hedgeDelayBeforeNodeEnds(baseline, remaining time.Duration) time.Duration {
	return max(remaining-baseline, 0)
}
