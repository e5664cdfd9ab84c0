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

// capacity returns the most tokens that the share of the limit may hold. A share of more than a half, which only one distributor can
// have at a time, holds at least one token, so that small limits let requests pass while some parts are missing.
func (l Limit) capacity(share float64) float64 {
	capacity := l.Burst * share
	if share > halfShare {
		return max(capacity, 1)
	}
	return capacity
}

// halfShare is above the sum of half of the parts with its rounding error.
const halfShare = 0.5 + 1e-9

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
