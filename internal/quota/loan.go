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
}

// heldLoan is a loan that a distributor holds.
type heldLoan struct {
	incarnation model.Incarnation
	part        float64
	until       time.Duration
}
