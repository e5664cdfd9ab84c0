package model

// NodeRecord is what the fleet knows of a node. The record with the greater (Incarnation, Version) is the newer one.
type NodeRecord struct {
	Node
	Version uint64
	// Heartbeat grows while the incarnation runs, also when nothing else changes.
	Heartbeat uint64
	// Stopping means that the node finishes its work and exits.
	Stopping bool
	// ConfigRevision is the store revision up to which the node has the configuration in force.
	ConfigRevision int64
	Targets        []Target
}

// NewerThan reports whether r replaces other, a record of the same node.
func (r *NodeRecord) NewerThan(other *NodeRecord) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Version > other.Version
}
