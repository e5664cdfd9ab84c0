package node

import "time"

// earliestTimer is a timer that fires at the earliest of the times that were set since it fired last. The zero value is not
// set. It is not safe for concurrent use.
type earliestTimer struct {
	timer *time.Timer
	at    time.Time
}

// fireWithin sets the timer to fire after d, unless it fires earlier.
func (t *earliestTimer) fireWithin(d time.Duration) {
	at := time.Now().Add(d)
	if t.timer != nil && !at.Before(t.at) {
		return
	}
	t.stop()
	t.timer, t.at = time.NewTimer(d), at
}

// channel returns the channel on which the timer fires, nil if it is not set.
func (t *earliestTimer) channel() <-chan time.Time {
	if t.timer == nil {
		return nil
	}
	return t.timer.C
}

// stop clears the timer.
func (t *earliestTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
}
