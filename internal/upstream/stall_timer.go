package upstream

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var errStalled = errors.New("upstream: no progress in time")

// stallTimer cancels a request when the upstream makes no progress for the limit. Time in which the answer waits for
// its receiver does not count.
type stallTimer struct {
	limit  time.Duration
	timer  *time.Timer
	active atomic.Bool
}

// newStallTimer returns a timer that is not started. A limit of 0 means that it never fires.
func newStallTimer(limit time.Duration, cancel context.CancelCauseFunc) *stallTimer {
	s := &stallTimer{limit: limit}
	if limit <= 0 {
		return s
	}
	s.timer = time.AfterFunc(limit, func() {
		if s.active.Load() {
			cancel(errStalled)
		}
	})
	return s
}

func (s *stallTimer) start() {
	if s.timer == nil {
		return
	}
	s.active.Store(true)
	s.timer.Reset(s.limit)
}

func (s *stallTimer) stop() {
	if s.timer == nil {
		return
	}
	s.active.Store(false)
	s.timer.Stop()
}
