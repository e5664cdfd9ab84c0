package node

import (
	"context"
	"time"
)

// shutdownCutoff is the time at which a stopping node answers the requests that are still open. It shortens the time that
// these requests have left, so what was computed from their deadlines before the shutdown has to be computed again.
type shutdownCutoff struct {
	announced chan struct{}
	at        time.Time
	// last is the time up to which requests may go on whose deadline comes before it.
	last time.Time
	// passed ends at the cutoff.
	passed context.Context
	pass   context.CancelFunc
}

func newShutdownCutoff() *shutdownCutoff {
	c := &shutdownCutoff{announced: make(chan struct{})}
	c.passed, c.pass = context.WithCancel(context.Background())
	return c
}

// announce sets the time of the cutoff, and the time up to which requests may go on whose deadline comes before it. It must be
// called only once.
func (c *shutdownCutoff) announce(at, last time.Time) {
	c.at, c.last = at, last
	close(c.announced)
}

// remaining returns the time until the cutoff. It must be called only after announced is closed.
func (c *shutdownCutoff) remaining() time.Duration { return time.Until(c.at) }

// left returns the time until the cutoff, and false if the node is not stopping.
func (c *shutdownCutoff) left() (time.Duration, bool) {
	select {
	case <-c.announced:
		return c.remaining(), true
	default:
		return 0, false
	}
}

// applies reports whether a request with the deadline ends at the cutoff. It must be called only after announced is closed.
func (c *shutdownCutoff) applies(deadline time.Time) bool { return deadline.After(c.last) }

// bind returns a context that ends at the cutoff, with errShutdownCutoff as its cause, if the cutoff applies to the deadline. It
// does not end at the deadline itself. release frees its resources.
func (c *shutdownCutoff) bind(ctx context.Context, deadline time.Time) (bound context.Context, release func()) {
	bound, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(c.passed, func() {
		if c.applies(deadline) {
			cancel(errShutdownCutoff)
		}
	})
	return bound, func() {
		stop()
		cancel(nil)
	}
}
