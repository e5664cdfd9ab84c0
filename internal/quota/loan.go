package quota

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Loan is the part of every limit that a node lends to a distributor.
type Loan struct {
	Node        model.NodeID
	Incarnation model.Incarnation
	// Divisor is the number of nodes among which the lender divides each limit. Its part is one in so many.
	Divisor int
	// IsCasting is true for one node among those that divide the limits. Its part decides which half of the parts is a majority.
	IsCasting bool
	// Serial orders the calls of the incarnation.
	Serial uint64
}

// heldLoan is a loan that a distributor holds.
type heldLoan struct {
	part      float64
	isCasting bool
	until     time.Duration
}

// allowsMoreThan reports whether a distributor may have more tokens with this loan than with the other one.
func (l heldLoan) allowsMoreThan(other heldLoan) bool {
	return l.part > other.part || l.isCasting && !other.isCasting
}

// callOrder is the position of a call among those of its sender.
type callOrder struct {
	incarnation model.Incarnation
	serial      uint64
}

// precedes reports whether the call was sent before the other one.
func (o callOrder) precedes(other callOrder) bool {
	if o.incarnation != other.incarnation {
		return o.incarnation < other.incarnation
	}
	return o.serial < other.serial
}

// newestCall is the newest call of a lender.
type newestCall struct {
	order callOrder
	// until is the time at which the loans of all calls that it has overtaken have ended. From then on the order does not matter, and the
	// lender may have a lower incarnation: its clock may have been set back between two starts.
	until time.Duration
}

// counts reports whether calls that the call has overtaken may still lend parts.
func (c newestCall) counts(now time.Duration) bool { return now < c.until }
