package distribution

import "time"

// delivery is the call that delivered documents to this node, for the log.
type delivery struct {
	// address is that of the peer, "" for the store.
	address string
	// startedAt is the time at which the call started.
	startedAt time.Duration
}
