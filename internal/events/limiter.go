package events

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// eventsPerSecond bounds each event number in the long run. With about 110 events the log stays under 110 lines/s.
	eventsPerSecond = 1
	// eventBurst is how many events of one number are written at once.
	eventBurst = 10
)

// limiter bounds the rate of one event and counts what it holds back.
type limiter struct {
	mu       sync.Mutex
	bucket   *rate.Limiter
	heldBack uint64
}

func newLimiter(event *Event) *limiter {
	if event.PerSecond > 0 {
		return &limiter{bucket: rate.NewLimiter(rate.Limit(event.PerSecond), event.PerSecond)}
	}
	return &limiter{bucket: rate.NewLimiter(eventsPerSecond, eventBurst)}
}

// allow reports whether an event may be written now, with the number of events held back since the last one.
func (l *limiter) allow(now time.Time) (heldBack uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.bucket.AllowN(now, 1) {
		l.heldBack++
		return 0, false
	}
	heldBack = l.heldBack
	l.heldBack = 0
	return heldBack, true
}

// take returns the number of events held back and begins at 0 again.
func (l *limiter) take() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	heldBack := l.heldBack
	l.heldBack = 0
	return heldBack
}
