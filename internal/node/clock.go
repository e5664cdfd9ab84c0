package node

import "time"

// clock is the node's monotonic clock. It starts at 0.
type clock struct {
	start time.Time
}

func newClock() clock { return clock{start: time.Now()} }

func (c clock) now() time.Duration { return time.Since(c.start) }
