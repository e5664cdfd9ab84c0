package membership

import "github.com/sardinereach/sardinereach/internal/model"

// Member is one node in a snapshot.
type Member struct {
	// Record is immutable. Its Heartbeat and ConfigRevision are from the time when its version arrived.
	Record *model.NodeRecord
	State  State
	// Heartbeat and ConfigRevision are the current values.
	Heartbeat      uint64
	ConfigRevision int64
}
