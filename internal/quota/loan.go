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
	// Serial orders the calls of the incarnation.
	Serial uint64
}

// heldLoan is a loan that a distributor holds.
type heldLoan struct {
	part  float64
	until time.Duration
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
