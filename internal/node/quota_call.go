package node

import "github.com/sardinereach/sardinereach/internal/model"

// quotaCall is a call to the node that distributes a slot of accounts.
type quotaCall struct {
	// distributor is empty if there is no node to call.
	distributor model.NodeID
	kind        quotaCallKind
	// isLast means that all other nodes are left out.
	isLast bool
}

// quotaCallKind is what a call does with the parts of the sender. Each kind may ask for permits as well.
type quotaCallKind uint8

const (
	// quotaLend lends the parts, or lends them for longer.
	quotaLend quotaCallKind = iota
	// quotaTakeBack ends a loan.
	quotaTakeBack
	// quotaAsk asks for permits from the parts of others. A node that has just started may not lend its own yet.
	quotaAsk
	// quotaProbe lends nothing. It shows that the receiver answers.
	quotaProbe
)
