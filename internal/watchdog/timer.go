// Package watchdog aborts an operation when one of its steps exceeds a time limit.
package watchdog

import (
	"sync/atomic"
	"time"
)

// Timer calls a function when a step takes longer than the limit. The time between Stop and the next Start does not
// count. Start and Stop must be called from the same goroutine.
type Timer struct {
	limit  time.Duration
	timer  *time.Timer
	active atomic.Bool
}

// New returns a stopped timer. If limit is 0, expired is never called.
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

// Start starts the time limit of a step.
func (t *Timer) Start() {
	if t.timer == nil {
		return
	}
	t.active.Store(true)
	t.timer.Reset(t.limit)
}

// Stop ends the step that Start began.
func (t *Timer) Stop() {
	if t.timer == nil {
		return
	}
	t.active.Store(false)
	t.timer.Stop()
}
