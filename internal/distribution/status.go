package distribution

import "time"

// Status tells operators how the node stands with store and peers.
type Status struct {
	// Ready means that the node may accept callers.
	Ready bool
	// Isolated means that neither the store nor any peer answered lately, so that the configuration may be old.
	Isolated bool
	// Watcher means that the node polls the store for its failure domain.
	Watcher bool
	// Registered means that the member record is in the store.
	Registered bool
	// Complete is the store revision up to which the configuration is complete.
	Complete int64
	// StoreAge and PeerAge are the times since the store and a peer last answered, negative if they never did.
	StoreAge, PeerAge time.Duration
}
