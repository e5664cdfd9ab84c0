package membership

import "github.com/sardinereach/sardinereach/internal/model"

// Member is one node as a snapshot shows it.
type Member struct {
	// Record is never changed after it was published. Its Heartbeat and ConfigRevision are those of the moment at which
	// its version arrived.
	Record *model.NodeRecord
	State  State
	// Heartbeat and ConfigRevision are the present ones.
	Heartbeat      uint64
	ConfigRevision int64
}
