package events

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// eventsPerSecond is the sustained rate limit of each event number. With about 110 events the log stays under 110
	// lines/s.
	eventsPerSecond = 1
	// eventBurst is the number of events of one number that may be written at once.
	eventBurst = 10
)

// limiter limits the rate of one event and counts the suppressed events.
type limiter struct {
	mu         sync.Mutex
	bucket     *rate.Limiter
	suppressed uint64
}

func newLimiter(event *Event) *limiter {
	if event.PerSecond > 0 {
		return &limiter{bucket: rate.NewLimiter(rate.Limit(event.PerSecond), event.PerSecond)}
	}
	return &limiter{bucket: rate.NewLimiter(eventsPerSecond, eventBurst)}
}

// allow reports whether an event may be written now. If it may, allow also returns the number of events suppressed since
// the last one and resets it.
func (l *limiter) allow(now time.Time) (suppressed uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.bucket.AllowN(now, 1) {
		l.suppressed++
		return 0, false
	}
	suppressed = l.suppressed
	l.suppressed = 0
	return suppressed, true
}

// takeSuppressed returns the number of suppressed events and resets it.
func (l *limiter) takeSuppressed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	suppressed := l.suppressed
	l.suppressed = 0
	return suppressed
}
