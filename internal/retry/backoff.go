package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// BaseDelay is the greatest delay before the second attempt. It doubles with every further attempt.
	BaseDelay = 25 * time.Millisecond
	// MaxDelay bounds the jittered part of a delay without a minimum.
	MaxDelay = time.Second
)

// minimumSpread divides the minimum: jitter covers at least this part of it.
const minimumSpread = 2

// Backoff returns the delay after the attempt-th attempt, 1 being the first: minimum plus a full-jitter part. The jitter
// comes on top of the minimum and is at least half as wide, because requests that were given the same Retry-After would
// otherwise return together.
func Backoff(attempt int, minimum time.Duration, rng *rand.Rand) time.Duration {
	minimum = max(minimum, 0)
	width := max(ceiling(attempt), minimum/minimumSpread)
	return minimum + time.Duration(rng.Int64N(int64(width)))
}

// ceiling returns the bound of the jittered part after the attempt-th attempt without a minimum.
func ceiling(attempt int) time.Duration {
	delay := BaseDelay
	for ; attempt > 1 && delay < MaxDelay; attempt-- {
		delay *= 2
	}
	return min(delay, MaxDelay)
}
