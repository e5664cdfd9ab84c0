package eject

import "time"

// sighting says when a node first saw a generation of an entry.
type sighting struct {
	// current is a time, not after seen, at or after which the document was still in the store.
	current time.Duration
	// seen is the time at which the document arrived at the node.
	seen time.Duration
}

// honoured reports whether the node honours an active generation.
func (s sighting) honoured(now time.Duration) bool { return now-s.current < TTL }

// due reports whether the node may retire or collect the generation.
func (s sighting) due(now time.Duration, retiring bool) bool {
	if retiring {
		return now-s.seen >= collectAfter
	}
	return now-s.seen >= retireAfter
}
