package membership

import "github.com/sardinereach/sardinereach/internal/model"

// Update is what one node tells another about a member. A full update carries the whole record. A light one carries
// only the ID, the incarnation, the version, the heartbeat and the configuration revision, for a receiver that has the
// record of that version already.
type Update struct {
	Record *model.NodeRecord
	Light  bool
}
