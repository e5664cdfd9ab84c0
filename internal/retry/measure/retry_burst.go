package main

import (
	"math/rand/v2"
	"time"

	"github.com/sardinereach/sardinereach/internal/retry"
)

const (
	burstRequests = 1000
	burstWindow   = 10 * time.Millisecond
)

// maxRetriesInWindow returns the maximum number of requests that are retried within one window of length burstWindow, if
// the given attempt of all burstRequests fails at the same time with the same Retry-After.
func maxRetriesInWindow(attempt int, retryAfter time.Duration, jitter bool, seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, seed))
	counts := map[time.Duration]int{}
	largest := 0
	for range burstRequests {
		delay := max(retryAfter, retry.BaseDelay<<(attempt-1))
		if jitter {
			delay = retry.Backoff(attempt, retryAfter, rng)
		}
		window := delay / burstWindow
		counts[window]++
		largest = max(largest, counts[window])
	}
	return largest
}
