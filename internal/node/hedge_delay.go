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
)

// hedgeDelay returns how long an attempt may take before its request is hedged. baseline is the average time of the
// route's attempts from the admission request to the complete response, 0 if there is none.
func hedgeDelay(baseline, objective time.Duration) time.Duration {
	if baseline == 0 {
		baseline = time.Duration(noBaselineShare * float64(objective))
	}
	return max(hedgeDelayFactor*baseline, minHedgeDelay)
}
