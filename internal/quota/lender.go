package quota

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Lender records to whom a node lends its parts, so that it never lends them to two distributors at a time. A loan begins with a reading
// of the distributor's clock, which the lender echoes: the distributor ends the loan at a fixed time after the reading, and the lender
// counts the same time from when it heard the reading, which was later.
type Lender struct {
	length time.Duration
	holder model.NodeID
	// until is the time at which the last loan has ended, whether or not the holder has received it.
	until time.Duration
	// heard are the last readings of the clocks of distributors.
	heard map[model.NodeID]heardClock
}

// heardClock is a reading with the time at which the lender heard it.
type heardClock struct {
	reading ClockReading
	at      time.Duration
}

// NewLender returns a lender that starts now. It lends nothing for the length of a loan: an earlier process of the node may have lent
// its parts.
func NewLender(now, length time.Duration) *Lender {
	return &Lender{length: length, until: now + length, heard: make(map[model.NodeID]heardClock)}
}

// MayLendTo reports whether the parts may be lent to the distributor now.
func (l *Lender) MayLendTo(now time.Duration, distributor model.NodeID) bool {
	return l.holder == distributor || now >= l.until
}

// Hear records the clock that a distributor has told now.
func (l *Lender) Hear(now time.Duration, distributor model.NodeID, reading ClockReading) {
	for node := range l.heard {
		if !l.HasHeard(now, node) {
			delete(l.heard, node)
		}
	}
	l.heard[distributor] = heardClock{reading: reading, at: now}
}

// HasHeard reports whether the lender has heard the clock of the distributor so recently that half of a loan is left.
func (l *Lender) HasHeard(now time.Duration, distributor model.NodeID) bool {
	heard, found := l.heard[distributor]
	return found && now-heard.at <= l.length/2
}

// Lend records that the distributor may have the parts from now on, and returns the reading that the call echoes. MayLendTo and HasHeard
// must have allowed it.
func (l *Lender) Lend(distributor model.NodeID) ClockReading {
	heard := l.heard[distributor]
	l.holder = distributor
	l.until = max(l.until, heard.at+l.length)
	return heard.reading
}

// TakenBack records that the distributor has given the parts back, and ignores earlier calls.
func (l *Lender) TakenBack(now time.Duration) { l.until = min(l.until, now) }

// Holder returns the distributor that has the parts, "" if none has them.
func (l *Lender) Holder(now time.Duration) model.NodeID {
	if now >= l.until {
		return ""
	}
	return l.holder
}

// Until returns the time from which the parts may be lent to any distributor.
func (l *Lender) Until() time.Duration { return l.until }
