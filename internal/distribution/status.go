package distribution

import "time"

// Status describes the readiness, the role and the connectivity of a node for operators.
type Status struct {
	// Ready means that the node may accept callers.
	Ready bool
	// Isolated means that neither the store nor any peer responded for Options.IsolatedAfter, so the configuration
	// may be outdated.
	Isolated bool
	// Watcher means that the node polls the store for its failure domain.
	Watcher bool
	// Registered means that the node's member record is in the store.
	Registered bool
	// Complete is the store revision up to which the configuration is complete.
	Complete int64
	// StoreAge and PeerAge are the times since the last response of the store and of a peer, negative before the first
	// one.
	StoreAge, PeerAge time.Duration
}
