package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var errSilent = errors.New("peer: no frame in time")

// watchdog cancels a call when a single step of it takes longer than the limit.
type watchdog struct {
	limit  time.Duration
	timer  *time.Timer
	active atomic.Bool
}

func newWatchdog(limit time.Duration, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{limit: limit}
	w.timer = time.AfterFunc(limit, func() {
		if w.active.Load() {
			cancel(errSilent)
		}
	})
	return w
}

func (w *watchdog) start() {
	w.active.Store(true)
	w.timer.Reset(w.limit)
}

func (w *watchdog) stop() {
	w.active.Store(false)
	w.timer.Stop()
}
