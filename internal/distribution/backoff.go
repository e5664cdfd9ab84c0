package distribution

import "time"

// backoff produces exponentially growing, randomized pauses after failed calls.
type backoff struct {
	distributor *Distributor
	// current is the upper bound of the next pause, maximum that of all pauses.
	current, maximum time.Duration
}

func (d *Distributor) newBackoff(maximum time.Duration) *backoff {
	return &backoff{distributor: d, current: d.options.BackoffMin, maximum: maximum}
}

// next returns a random pause between half the current bound and the bound, and doubles the bound up to the maximum.
// The lower limit prevents an immediate retry of a call that fails fast.
func (b *backoff) next() time.Duration {
	pause := b.current/2 + b.distributor.randomBelow(b.current/2)
	b.current = min(2*b.current, b.maximum)
	return pause
}

// limit bounds the next pause.
func (b *backoff) limit(bound time.Duration) { b.current = min(b.current, bound) }

// reset returns to the shortest pause.
func (b *backoff) reset() { b.current = b.distributor.options.BackoffMin }
