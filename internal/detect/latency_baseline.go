package detect

import (
	"math"
	"time"
)

const (
	// baselineWeight is the weight of one response in the baseline latency. About the last 8 responses count, so that
	// the baseline follows a slow shared dependency quickly. A failing target is compared with the baselines of its
	// peers.
	baselineWeight = 1.0 / 8
	// maxBaselineStep limits the effect of one response, in natural logarithms, so that a few outliers change little.
	maxBaselineStep = 1.0
	// maxRoutes limits the routes of one detector; the latency of further routes is not recorded.
	maxRoutes = 64
)

// latencyBaseline estimates the normal time to the first byte as a robust mean of its logarithm.
type latencyBaseline struct {
	log         float64
	initialized bool
}

// add adds one response.
func (b *latencyBaseline) add(firstByte time.Duration) {
	value := math.Log(float64(max(firstByte, time.Microsecond)))
	if !b.initialized {
		b.log, b.initialized = value, true
		return
	}
	step := max(-maxBaselineStep, min(maxBaselineStep, value-b.log))
	b.log += baselineWeight * step
}

// duration returns the baseline latency, 0 if no response has been added.
func (b *latencyBaseline) duration() time.Duration {
	if !b.initialized {
		return 0
	}
	return time.Duration(math.Exp(b.log))
}
