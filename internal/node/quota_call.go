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
