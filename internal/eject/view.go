package eject

import (
	"maps"
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
)

// View caches the permit document of one service on one node. The zero value has no document. It is not safe for
// concurrent use.
type View struct {
	doc          Document
	revision     int64
	observations map[generation]observation
	// storedAt is a time at or after which the document was still in the store.
	storedAt time.Duration
	// era is the newest era of the store that the node has received, and eraReceivedAt the time when it received it.
	era           int64
	eraReceivedAt time.Duration
}

// ReceiveEra records that the node received an era of the store at the given time. Earlier eras are ignored.
func (v *View) ReceiveEra(era int64, at time.Duration) {
	if era > v.era {
		v.era, v.eraReceivedAt = era, at
	}
}

// enforceFrom returns the time from which the node enforces entries that it receives now. In an era after a restore, other
// nodes may still enforce entries that the store has lost, so the entries of the restored document have no share of their
// own before settleAfter has passed.
func (v *View) enforceFrom() time.Duration {
	if v.era == 0 {
		return 0
	}
	return v.eraReceivedAt + settleAfter
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
	restored := store.Era(revision) > store.Era(v.revision)
	v.ReceiveEra(store.Era(revision), now)
	previous, enforced := v.observations, v.enforcedObservations(now)
	v.doc = doc
	v.revision = revision
	v.storedAt = storedAt
	v.observations = make(map[generation]observation, len(doc.Entries))
	for _, entry := range doc.Entries {
		first := observation{storedAt: storedAt, receivedAt: now, enforceFrom: v.enforceFrom()}
		if restored {
			// A restore gives serials out again, so an equal generation may be another entry, or a mark that was not yet
			// there for some nodes. Only the exclusion of a target continues, to its former end.
			if known, ok := enforced[entry.Target]; ok {
				first = known
			}
		} else if known, ok := previous[entry.generation()]; ok {
			first = known
		}
		v.observations[entry.generation()] = first
	}
	return true
}

// enforcedObservations returns the observations of the entries that the node enforces, by target.
func (v *View) enforcedObservations(now time.Duration) map[model.TargetID]observation {
	enforced := make(map[model.TargetID]observation)
	for _, entry := range v.doc.Entries {
		if o := v.observations[entry.generation()]; !entry.Retiring && o.isActive(now) {
			enforced[entry.Target] = o
		}
	}
	return enforced
}

// Document returns the newest document that the node has received, and its store revision (0 if there is none).
func (v *View) Document() (Document, int64) { return v.doc, v.revision }

// Age returns the age of the document, which is sent to peers together with it.
func (v *View) Age(now time.Duration) time.Duration { return now - v.storedAt }

// ActiveTargets returns the targets whose ejection the node enforces now.
func (v *View) ActiveTargets(now time.Duration) []model.TargetID {
	return slices.Sorted(maps.Keys(v.enforcedObservations(now)))
}

// CollectGarbage returns the newest document in which the entries that this node has cached for long enough are retired
// or removed. It fails with ErrUnchanged if there are none.
func (v *View) CollectGarbage(now time.Duration) (Document, error) {
	return collectGarbage(v.doc, func(g generation) bool { return v.observations[g].isDue(now, g.retiring) })
}
