package distribution

import (
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// EventKind says what happened.
type EventKind uint8

const (
	// StoreFailed means that a call to the store failed; Key is the prefix or key, Err the error.
	StoreFailed EventKind = iota
	// StoreCompacted means that changes under the prefix Key were no longer held, so that the keys are listed again.
	StoreCompacted
	// PullFailed means that a Pull failed; Address is the peer, Err the error.
	PullFailed
	// DocumentApplied means that a newer document arrived; Key and Revision name it.
	DocumentApplied
	// DocumentRejected means that the newest document of Key is bad, so that the last good one stays in force.
	DocumentRejected
	// MemberChanged means that the liveness of Node changed From, To.
	MemberChanged
	// MemberRegistered means that the node's own member record is in the store.
	MemberRegistered
	// MemberDeleted means that this node deleted the member record of the dead Node.
	MemberDeleted
	// WatchStarted and WatchStopped mean that this node became, or is no longer, a watcher of its domain.
	WatchStarted
	WatchStopped
	// BecameReady means that the configuration is complete enough to accept callers; Revision is that of the store up to
	// which it is complete.
	BecameReady
	// Isolated means that neither the store nor any peer answered for Options.IsolatedAfter; Reconnected ends it.
	Isolated
	Reconnected
	// IdentityConflict means that another process uses this node's ID; Address is its peer address.
	IdentityConflict
)

var eventNames = [...]string{
	"store_failed", "store_compacted", "pull_failed", "document_applied", "document_rejected", "member_changed",
	"member_registered", "member_deleted", "watch_started", "watch_stopped", "ready", "isolated", "reconnected",
	"identity_conflict",
}

// String returns the name of the kind for counters and logs.
func (k EventKind) String() string {
	if int(k) >= len(eventNames) {
		return "invalid"
	}
	return eventNames[k]
}

// Event is one report of a Distributor. Fields that the kind does not name are zero.
type Event struct {
	Kind     EventKind
	Node     model.NodeID
	Address  string
	Key      string
	Revision int64
	From, To membership.State
	Err      error
}
