package statement

import "github.com/sardinereach/sardinereach/internal/model"

// Explain queries which target a request would be sent to now, and why not to any other target.
type Explain struct {
	Method string
	Path   string
	// Host is empty if the statement has no host clause.
	Host string
}

// Declare creates or replaces the declaration of one service.
type Declare struct{ Declaration Declaration }

// Drain makes the fleet send no new requests to a target.
type Drain struct {
	Target model.TargetID
	// Force allows a drain that takes the service below its capacity floor.
	Force bool
}

// Restore ends the drain of a target.
type Restore struct{ Target model.TargetID }

// Remove deletes the declaration of a service.
type Remove struct {
	Service model.ServiceName
	// Force allows the removal of a service that has routes.
	Force bool
}

// Forbid makes all nodes refuse requests with a fingerprint.
type Forbid struct{ Fingerprint string }

// Release ends the quarantine of a request fingerprint.
type Release struct{ Fingerprint string }

// Withdraw ends the ejection of a target.
type Withdraw struct{ Target model.TargetID }

// Verb implements Statement.
func (*Explain) Verb() string { return "explain" }

// Verb implements Statement.
func (*Declare) Verb() string { return "declare" }

// Verb implements Statement.
func (*Drain) Verb() string { return "drain" }

// Verb implements Statement.
func (*Restore) Verb() string { return "restore" }

// Verb implements Statement.
func (*Remove) Verb() string { return "remove" }

// Verb implements Statement.
func (*Forbid) Verb() string { return "forbid" }

// Verb implements Statement.
func (*Release) Verb() string { return "release" }

// Verb implements Statement.
func (*Withdraw) Verb() string { return "withdraw" }
