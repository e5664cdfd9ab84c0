package distribution

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// EventKind is the type of an Event.
type EventKind uint8

const (
	// StoreFailed means that a call to the store failed; Key is the prefix or key, Err the error.
	StoreFailed EventKind = iota
	// StoreCompacted means that the store no longer has the changes under the prefix Key, so the keys are listed
	// again. Revision is the one to continue from.
	StoreCompacted
	// ListOutdated means that a list of the keys under the prefix Key has a lower revision than the one up to which this
	// node's documents are complete. Revision is that of the list, Complete that of the node.
	ListOutdated
	// PullFailed means that a Pull failed after Duration; Address is the peer, Err the error. Revision is the one after which
	// documents were requested.
	PullFailed
	// DocumentApplied means that a newer document was merged; Key and Revision identify it. Address is the peer that
	// delivered it, "" for the store, and Duration the time that the call took. Age is the time since the newest
	// confirmation before: the change was acknowledged after it. Bytes is the size of the document, Wait the time from the
	// response until the document was merged.
	DocumentApplied
	// DocumentRejected means that the newest document of Key cannot be read. The last one of a service that could be read stays active;
	// of a group of accounts, nothing does.
	DocumentRejected
	// RouteUnsupported means that a document that was merged has a route that this build cannot serve, for the reason Err.
	// Key and Revision identify the document, Route is the host and path, "*" for all routes of the service.
	RouteUnsupported
	// KindUnknown means that a document that was merged is of a kind that this build does not know, so that it has no effect. Key and
	// Revision identify it.
	KindUnknown
	// AccountsApplied means that a document with other accounts than before was merged: DocumentApplied with the number of accounts in
	// Count.
	AccountsApplied
	// AccountUnsupported means that a document that was merged has an account that this build cannot apply, for the reason Err. Key and
	// Revision identify the document, Accounts has the name, "" if it cannot be read.
	AccountUnsupported
	// KeyShared means that Accounts have a key in common, which belongs to none of them. Revision is that of the newest of their
	// documents.
	KeyShared
	// MemberChanged means that the liveness of Node changed from From to To.
	MemberChanged
	// MemberRegistered means that the node's own member record is in the store.
	MemberRegistered
	// MemberRecordLost means that a restore of the store lost the node's own member record, so it is written again.
	MemberRecordLost
	// MemberDeleted means that this node deleted the member record of the dead Node.
	MemberDeleted
	// WatchStarted and WatchStopped mean that this node became a watcher of its domain, or stopped being one.
	WatchStarted
	WatchStopped
	// BecameReady means that the configuration is complete enough to accept callers. Revision is the store revision up
	// to which it is complete.
	BecameReady
	// Isolated means that neither the store nor any peer responded for Options.IsolatedAfter. Reconnected ends that
	// state.
	Isolated
	Reconnected
	// IdentityConflict means that another process uses this node's ID; Address is its peer address.
	IdentityConflict
	// EraReceived means that this node has received a newer era of the store than the one before, so that it checks what
	// the store may have lost. Revision is in that era.
	EraReceived
	// StandInStarted and StandInStopped mean that this node reads the configuration from the store although it is not a
	// watcher, because no node of its domain has confirmed it recently. Revision is the one to continue from.
	StandInStarted
	StandInStopped
	// StandInFailed means that the store did not answer a read of this standby, with Err. Rank is its rank among the standbys
	// of the domain, Age the age of the newest confirmation and Duration the time until it tries again, unless nobody else does.
	StandInFailed
	// ConfirmationLate means that the newest confirmation of the configuration is older than this node expects: Age is its age,
	// Operation what the node waits for. ConfirmationReceived ends that state; Age is the time between the two
	// confirmations.
	ConfirmationLate
	ConfirmationReceived
)

var eventNames = [...]string{
	"store_failed", "store_compacted", "list_outdated", "pull_failed", "document_applied", "document_rejected", "route_unsupported", "kind_unknown",
	"accounts_applied", "account_unsupported", "key_shared",
	"member_changed", "member_registered", "member_record_lost", "member_deleted", "watch_started", "watch_stopped",
	"ready", "isolated", "reconnected", "identity_conflict", "era_received",
	"stand_in_started", "stand_in_stopped", "stand_in_failed", "confirmation_late", "confirmation_received",
}

// String returns the name of the kind for counters and logs.
func (k EventKind) String() string {
	if int(k) >= len(eventNames) {
		return "invalid"
	}
	return eventNames[k]
}

// Event is one report of a Distributor. Fields that the description of the kind does not mention are zero.
type Event struct {
	Kind     EventKind
	Node     model.NodeID
	Address  string
	Key      string
	Route    string
	Revision int64
	Complete int64
	From, To membership.State
	// Operation describes what the node waits for.
	Operation     string
	Rank          int
	Duration, Age time.Duration
	Wait          time.Duration
	Bytes         int64
	Accounts      []model.AccountName
	Count         int
	Err           error
}
