package fakestore

import "golang.org/x/time/rate"

// limiters are the rate limits of the store; nil means no limit.
type limiters struct {
	reads  *rate.Limiter
	writes *rate.Limiter
}

func newLimiters(faults Faults) limiters {
	return limiters{reads: newLimiter(faults.ReadsPerSecond), writes: newLimiter(faults.WritesPerSecond)}
}

// newLimiter returns a limiter with a burst of one second's calls, or nil for no limit.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}
