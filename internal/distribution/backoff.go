package distribution

import "time"

// backoff gives growing pauses after failed calls.
type backoff struct {
	distributor    *Distributor
	limit, maximum time.Duration
}

func (d *Distributor) newBackoff(maximum time.Duration) *backoff {
	return &backoff{distributor: d, limit: d.options.BackoffMin, maximum: maximum}
}

// next returns a pause between half the limit and the limit, and doubles the limit. The lower bound keeps a fast
// failing call from being repeated at once.
func (b *backoff) next() time.Duration {
	pause := b.limit/2 + b.distributor.upTo(b.limit/2)
	b.limit = min(2*b.limit, b.maximum)
	return pause
}

// reset starts again with the shortest pause.
func (b *backoff) reset() { b.limit = b.distributor.options.BackoffMin }
