package membership

import "github.com/sardinereach/sardinereach/internal/model"

// Update is what one node sends to another about a member. A full update has the complete record. A light one has only
// the ID, incarnation, version, heartbeat and configuration revision, for a receiver that has the record of that version
// already.
type Update struct {
	Record *model.NodeRecord
	Light  bool
}
