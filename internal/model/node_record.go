package model

// NodeRecord is the state of a node that the fleet propagates. Of two records of a node, the one with the greater
// (Incarnation, Version) is newer.
type NodeRecord struct {
	Node
	Version uint64
	// Heartbeat increases while the incarnation runs, even if nothing else changes.
	Heartbeat uint64
	// Stopping means that the node finishes its requests and exits.
	Stopping bool
	// ConfigRevision is the store revision up to which the configuration is active on the node.
	ConfigRevision int64
	Targets        []Target
	// Departures are those that this node or an earlier incarnation of it has acknowledged.
	Departures []Departure
}

// NewerThan reports whether r replaces other, a record of the same node.
func (r *NodeRecord) NewerThan(other *NodeRecord) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Version > other.Version
}
