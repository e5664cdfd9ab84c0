package retry

import "time"

// Budget bounds the retries of one service at one accepting node. Retries are drawn first from the share of real
// requests, then from the minimum. It is not safe for concurrent use.
type Budget struct {
	limits BudgetLimits
	// saved and minimum are retries that may be made at present.
	saved   float64
	minimum float64
	now     time.Duration
}

// NewBudget returns a budget that has its minimum and nothing saved up.
func NewBudget(limits BudgetLimits, now time.Duration) *Budget {
	b := &Budget{limits: limits, now: now}
	b.minimum = b.minimumBurst()
	return b
}

// Request counts one real request, that is one from a caller and not a retry.
func (b *Budget) Request(now time.Duration) {
	b.advance(now)
	b.saved = min(b.saved+b.limits.Share, b.limits.Burst)
}

// Take draws one retry and reports whether there was one.
func (b *Budget) Take(now time.Duration) bool {
	b.advance(now)
	switch {
	case b.saved >= 1:
		b.saved--
	case b.minimum >= 1:
		b.minimum--
	default:
		return false
	}
	return true
}

// SetMinimum changes the retries a second that need no real requests. Nodes that share the load of a service share its
// minimum, so that a large fleet does not multiply it.
func (b *Budget) SetMinimum(now time.Duration, perSecond float64) {
	b.advance(now)
	b.limits.MinPerSecond = perSecond
	b.minimum = min(b.minimum, b.minimumBurst())
}

// Available returns the number of retries that Take would grant now.
func (b *Budget) Available(now time.Duration) int {
	b.advance(now)
	return int(b.saved) + int(b.minimum)
}

// minimumBurst is one second's worth, and at least one retry so that a small minimum can be drawn at all.
func (b *Budget) minimumBurst() float64 {
	if b.limits.MinPerSecond <= 0 {
		return 0
	}
	return max(b.limits.MinPerSecond, 1)
}

// advance refills the minimum. A jump of the clock refills it no further than its burst; time never goes back.
func (b *Budget) advance(now time.Duration) {
	if now <= b.now {
		return
	}
	refill := (now - b.now).Seconds() * b.limits.MinPerSecond
	b.minimum = min(b.minimum+refill, b.minimumBurst())
	b.now = now
}
