package quota

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Lender records to whom a node lends its parts, so that it never lends them to two distributors at a time.
type Lender struct {
	holder model.NodeID
	// until is the time at which the last loan has ended, whenever the holder has received it.
	until time.Duration
}

// NewLender returns a lender that lends nothing before the given time: an earlier process of the node may have lent its parts.
func NewLender(notBefore time.Duration) *Lender { return &Lender{until: notBefore} }

// MayLendTo reports whether the parts may be lent to the distributor now.
func (l *Lender) MayLendTo(now time.Duration, distributor model.NodeID) bool {
	return l.holder == distributor || now >= l.until
}

// Lent records that the distributor has the parts. It has received the call before the given time. MayLendTo must have allowed it.
func (l *Lender) Lent(distributor model.NodeID, receivedBefore, length time.Duration) {
	l.holder = distributor
	l.until = max(l.until, receivedBefore+length)
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
