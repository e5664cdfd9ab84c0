package operator

import "github.com/sardinereach/sardinereach/internal/model"

// Snapshot is the view of one node at one time. It is not changed after it was returned.
type Snapshot struct {
	// Node is the node that answers.
	Node model.NodeID
	// ConfigRevision is the store revision up to which the node has the configuration in force.
	ConfigRevision int64
	// Complete is false before the node has read the whole configuration.
	Complete   bool
	Services   []ServiceFacts
	Nodes      []NodeFacts
	Ejections  []Ejection
	Quarantine []QuarantineEntry
	// Refusals, Failures and Retries are counts since the start of the node that each entry names.
	Refusals []ReasonCount
	Failures []ReasonCount
	Retries  []ReasonCount
}
