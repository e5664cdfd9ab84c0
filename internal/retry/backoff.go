package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// BaseDelay is the maximum delay before the second attempt. It doubles with every further attempt.
	BaseDelay = 25 * time.Millisecond
	// MaxDelay bounds the jitter of a delay without a minimum.
	MaxDelay = time.Second
)

// minimumJitterDivisor sets the least jitter: it is the minimum delay divided by this number.
const minimumJitterDivisor = 2

// Backoff returns the delay after the given attempt, counted from 1: the minimum plus full jitter. The jitter is added to
// the minimum, and its range is at least half of the minimum. Requests that received the same Retry-After would otherwise
// be retried at the same time.
func Backoff(attempt int, minimum time.Duration, rng *rand.Rand) time.Duration {
	minimum = max(minimum, 0)
	width := max(jitterBound(attempt), minimum/minimumJitterDivisor)
	return minimum + time.Duration(rng.Int64N(int64(width)))
}

// jitterBound returns the exclusive upper bound of the jitter after the given attempt, without a minimum.
func jitterBound(attempt int) time.Duration {
	delay := BaseDelay
	for ; attempt > 1 && delay < MaxDelay; attempt-- {
		delay *= 2
	}
	return min(delay, MaxDelay)
}
