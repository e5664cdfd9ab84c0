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
	// requests is the context of all callers' requests. pass ends it.
	requests context.Context
	cancel   context.CancelCauseFunc
}

func newShutdownCutoff() *shutdownCutoff {
	c := &shutdownCutoff{announced: make(chan struct{})}
	c.requests, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// announce sets the time of the cutoff. It must be called only once.
func (c *shutdownCutoff) announce(at time.Time) {
	c.at = at
	close(c.announced)
}

// pass ends the requests that are still open.
func (c *shutdownCutoff) pass() { c.cancel(errShutdownCutoff) }

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
