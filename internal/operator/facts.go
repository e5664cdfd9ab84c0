package operator

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// ServiceFacts is a service as the node has it in force.
type ServiceFacts struct {
	Service  declaration.Service
	Revision int64
}

// NodeFacts is what the answering node knows of a node, itself included.
type NodeFacts struct {
	Record model.NodeRecord
	// Age is the time since the record was last confirmed, 0 for the answering node itself.
	Age time.Duration
	// Silent means that the node did not report in time, so that its facts may be wrong.
	Silent bool
}

// Ejection is a target that gets no ordinary work because it is suspected.
type Ejection struct {
	Target  model.TargetID
	Service model.ServiceName
	// Fleetwide is true for a permit, false if only the answering node avoids the target.
	Fleetwide bool
	// Cause says in a few words what the detector found.
	Cause string
	// Since and Remaining are the time since the ejection and the time until it expires, 0 if it does not.
	Since     time.Duration
	Remaining time.Duration
}

// QuarantineEntry is a request fingerprint that is limited or refused.
type QuarantineEntry struct {
	Fingerprint string
	// Service is empty for a fingerprint that an operator forbade.
	Service model.ServiceName
	// State is "suspected", "quarantined" or "forbidden".
	State  string
	Losses int
	// Remaining is the time until the entry expires, 0 if it does not.
	Remaining time.Duration
}

// ReasonCount is a count for one reason on one node.
type ReasonCount struct {
	Node   model.NodeID
	Reason verdict.Reason
	Count  int64
}
