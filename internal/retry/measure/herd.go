package main

import (
	"math/rand/v2"
	"time"

	"github.com/sardinereach/sardinereach/internal/retry"
)

const (
	herdRequests = 1000
	herdWindow   = 10 * time.Millisecond
)

// herd returns the maximum number of requests that are retried within one window of herdWindow, if the given attempt of
// all of them fails at the same time with the same Retry-After.
func herd(attempt int, retryAfter time.Duration, jitter bool, seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, seed))
	counts := map[time.Duration]int{}
	largest := 0
	for range herdRequests {
		delay := max(retryAfter, retry.BaseDelay<<(attempt-1))
		if jitter {
			delay = retry.Backoff(attempt, retryAfter, rng)
		}
		window := delay / herdWindow
		counts[window]++
		largest = max(largest, counts[window])
	}
	return largest
}
