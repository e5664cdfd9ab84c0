package node

import "time"

// shutdownCutoff is the time at which a stopping node answers the requests that are still open. It shortens the time that
// these requests have left, so what was computed from their deadlines before the shutdown has to be computed again.
type shutdownCutoff struct {
	announced chan struct{}
	at        time.Time
}

func newShutdownCutoff() *shutdownCutoff { return &shutdownCutoff{announced: make(chan struct{})} }

// announce sets the time of the cutoff. It must be called only once.
func (c *shutdownCutoff) announce(at time.Time) {
	c.at = at
	close(c.announced)
}

// remaining returns the time until the cutoff. It must be called only after announced is closed.
func (c *shutdownCutoff) remaining() time.Duration { return time.Until(c.at) }
