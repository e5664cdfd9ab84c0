package quota

import (
	"math"
	"time"
)

// Limit is the quota of an account at all nodes together.
type Limit struct {
	// PerSecond is the number of requests per second on average.
	PerSecond float64
	// Burst is the number of requests at once beyond the average.
	Burst float64
}

// capacity returns the most tokens that a distributor may have. A majority has at least one token, so that small limits let requests pass
// while some parts are missing. The rounding error of the share takes no whole token away.
func (l Limit) capacity(h holding) float64 {
	capacity := l.Burst * h.share
	if whole := math.Round(capacity); math.Abs(capacity-whole) <= whole*shareRounding {
		capacity = whole
	}
	if h.isMajority {
		return max(capacity, 1)
	}
	return capacity
}

// fillTime returns the time in which the share of the limit gains the tokens, at most maxFillTime.
func (l Limit) fillTime(tokens, share float64) time.Duration {
	rate := l.PerSecond * share
	if tokens <= 0 {
		return 0
	}
	if rate <= 0 || tokens/rate > maxFillTime.Seconds() {
		return maxFillTime
	}
	return time.Duration(math.Ceil(tokens / rate * float64(time.Second)))
}

// maxFillTime bounds the time for which a caller is told to wait for a permit.
const maxFillTime = 30 * time.Second
