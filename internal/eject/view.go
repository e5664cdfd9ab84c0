package eject

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// View caches the permit document of one service on one node. The zero value has no document. It is not safe for
// concurrent use.
type View struct {
	doc          Document
	revision     int64
	observations map[generation]observation
	// storedAt is a time at or after which the document was still in the store.
	storedAt time.Duration
}

// Merge merges a document with its store revision and reports whether the document was new. The age is the time since
// the start of the store read that returned the document. For a node that reads the store itself, it is the duration of
// that read. For a node that receives the document from a peer, it is the age that the peer reports plus the duration
// of the pull. Documents older than the cached one are ignored. The cached document with a smaller age only updates the
// age.
func (v *View) Merge(doc Document, revision int64, age, now time.Duration) bool {
	storedAt := now - max(0, age)
	if revision == v.revision {
		v.storedAt = max(v.storedAt, storedAt)
	}
	if revision <= v.revision {
		return false
	}
	previous := v.observations
	v.doc = doc
	v.revision = revision
	v.storedAt = storedAt
	v.observations = make(map[generation]observation, len(doc.Entries))
	for _, entry := range doc.Entries {
		first, ok := previous[entry.generation()]
		if !ok {
			first = observation{storedAt: storedAt, receivedAt: now}
		}
		v.observations[entry.generation()] = first
	}
	return true
}

// Document returns the newest document that the node has received, and its store revision (0 if there is none).
func (v *View) Document() (Document, int64) { return v.doc, v.revision }

// Age returns the age of the document, which is sent to peers together with it.
func (v *View) Age(now time.Duration) time.Duration { return now - v.storedAt }

// ActiveTargets returns the targets whose ejection the node enforces now.
func (v *View) ActiveTargets(now time.Duration) []model.TargetID {
	var targets []model.TargetID
	for _, entry := range v.doc.Entries {
		if !entry.Retiring && v.observations[entry.generation()].isActive(now) {
			targets = append(targets, entry.Target)
		}
	}
	return targets
}

// CollectGarbage returns the newest document in which the entries that this node has cached for long enough are retired
// or removed. It fails with ErrUnchanged if there are none.
func (v *View) CollectGarbage(now time.Duration) (Document, error) {
	return collectGarbage(v.doc, func(g generation) bool { return v.observations[g].isDue(now, g.retiring) })
}
