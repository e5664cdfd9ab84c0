package eject

import "time"

// observation records when a node first received a generation of an entry.
type observation struct {
	// storedAt is a time at or after which the document was still in the store. It is never after receivedAt.
	storedAt time.Duration
	// receivedAt is the time at which the node received the document.
	receivedAt time.Duration
	// enforceFrom is the time before which the node does not enforce the generation.
	enforceFrom time.Duration
}

// isActive reports whether the node still enforces a generation that is not retiring.
func (o observation) isActive(now time.Duration) bool {
	return now >= o.enforceFrom && now-o.storedAt < TTL
}

// isDue reports whether the node may retire the generation, or garbage-collect it if it is retiring.
func (o observation) isDue(now time.Duration, retiring bool) bool {
	if retiring {
		return now-o.receivedAt >= collectAfter
	}
	return now-o.receivedAt >= retireAfter
}
