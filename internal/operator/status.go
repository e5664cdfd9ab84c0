package operator

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// ServiceStatus is the configuration of a service that is active on the node.
type ServiceStatus struct {
	Service  declaration.Service
	Revision int64
}

// NodeStatus is the latest status of a node that the responding node has received. The responding node lists itself too.
type NodeStatus struct {
	Record model.NodeRecord
	// Age is the time since the record was last confirmed, 0 for the responding node itself.
	Age time.Duration
	// Unresponsive means that the node did not report in time, so its record may be out of date.
	Unresponsive bool
}

// Ejection is a target that receives no ordinary requests because it is suspected.
type Ejection struct {
	Target  model.TargetID
	Service model.ServiceName
	// Fleetwide is true if an ejection permit exists, false if only the responding node avoids the target.
	Fleetwide bool
	// Cause is a short description of what the failure detector found.
	Cause string
	// Since and Remaining are the time since the ejection and the time until it expires, 0 if it does not.
	Since     time.Duration
	Remaining time.Duration
}

// QuarantineEntry is a request fingerprint whose requests are limited or refused.
type QuarantineEntry struct {
	Fingerprint string
	// Service is empty for a fingerprint that an operator has forbidden.
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
