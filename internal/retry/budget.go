package retry

import "time"

// Budget is a token bucket that bounds the retries of one service at one accepting node. A retry takes a token earned by
// the requests of callers if there is one, otherwise a token of the minimum. It is not safe for concurrent use.
type Budget struct {
	limits BudgetLimits
	// shareTokens are earned by requests, minimumTokens by time. Each whole token allows one retry.
	shareTokens   float64
	minimumTokens float64
	now           time.Duration
}

// NewBudget returns a budget with a full minimum and no tokens earned by requests.
func NewBudget(limits BudgetLimits, now time.Duration) *Budget {
	b := &Budget{limits: limits, now: now}
	b.minimumTokens = b.minimumBurst()
	return b
}

// AddRequest counts one request from a caller. Retries are not counted.
func (b *Budget) AddRequest(now time.Duration) {
	b.advance(now)
	b.shareTokens = min(b.shareTokens+b.limits.Share, b.limits.Burst)
}

// Take takes one token and reports whether there was one.
func (b *Budget) Take(now time.Duration) bool {
	b.advance(now)
	switch {
	case b.shareTokens >= 1:
		b.shareTokens--
	case b.minimumTokens >= 1:
		b.minimumTokens--
	default:
		return false
	}
	return true
}

// SetMinimum changes the number of retries per second that are allowed without requests. The nodes that share the load of
// a service divide its minimum, so that a large fleet does not multiply it.
func (b *Budget) SetMinimum(now time.Duration, perSecond float64) {
	b.advance(now)
	b.limits.MinPerSecond = perSecond
	b.minimumTokens = min(b.minimumTokens, b.minimumBurst())
}

// Available returns the number of retries that Take would allow now.
func (b *Budget) Available(now time.Duration) int {
	b.advance(now)
	return int(b.shareTokens) + int(b.minimumTokens)
}

// minimumBurst returns the capacity of the minimum: the tokens of one second, but at least one token unless the minimum is
// 0. A minimum below one retry per second could otherwise never be used.
func (b *Budget) minimumBurst() float64 {
	if b.limits.MinPerSecond <= 0 {
		return 0
	}
	return max(b.limits.MinPerSecond, 1)
}

// advance refills the minimum for the elapsed time, at most up to its burst. An earlier time is ignored.
func (b *Budget) advance(now time.Duration) {
	if now <= b.now {
		return
	}
	refill := (now - b.now).Seconds() * b.limits.MinPerSecond
	b.minimumTokens = min(b.minimumTokens+refill, b.minimumBurst())
	b.now = now
}
