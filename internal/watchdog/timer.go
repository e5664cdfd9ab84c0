// Package watchdog ends an operation of which a single step takes too long.
package watchdog

import (
	"sync/atomic"
	"time"
)

// Timer calls a function when a step takes longer than the limit. Time between Stop and the next Start does not count.
// Start and Stop are called by one goroutine.
type Timer struct {
	limit  time.Duration
	timer  *time.Timer
	active atomic.Bool
}

// New returns a timer that is not started. A limit of 0 means that expired is never called.
func New(limit time.Duration, expired func()) *Timer {
	t := &Timer{limit: limit}
	if limit <= 0 {
		return t
	}
	t.timer = time.AfterFunc(limit, func() {
		if t.active.Load() {
			expired()
		}
	})
	return t
}

// Start begins a step.
func (t *Timer) Start() {
	if t.timer == nil {
		return
	}
	t.active.Store(true)
	t.timer.Reset(t.limit)
}

// Stop ends a step.
func (t *Timer) Stop() {
	if t.timer == nil {
		return
	}
	t.active.Store(false)
	t.timer.Stop()
}
