package eject

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// View is what one node knows of the permit document of one service. The zero value is a view that has seen no
// document. It is not safe for concurrent use.
type View struct {
	doc       Document
	revision  int64
	sightings map[generation]sighting
	// current is a time at or after which the document was still in the store.
	current time.Duration
}

// Learn takes over a document with its store revision. The age is the time since the read of the store began that
// returned the document: for a node that reads the store itself, the duration of that read; for a node that gets the
// document from a peer, the age that the peer gives, plus the duration of the exchange. Documents older than the known
// one are ignored; the known one may only become younger. Learn reports whether the document was new.
func (v *View) Learn(doc Document, revision int64, age, now time.Duration) bool {
	current := now - max(0, age)
	if revision == v.revision {
		v.current = max(v.current, current)
	}
	if revision <= v.revision {
		return false
	}
	known := v.sightings
	v.doc = doc
	v.revision = revision
	v.current = current
	v.sightings = make(map[generation]sighting, len(doc.Entries))
	for _, entry := range doc.Entries {
		seen, ok := known[entry.generation()]
		if !ok {
			seen = sighting{current: current, seen: now}
		}
		v.sightings[entry.generation()] = seen
	}
	return true
}

// Document returns the newest document that the node has seen, and its store revision (0 if there is none).
func (v *View) Document() (Document, int64) { return v.doc, v.revision }

// Age returns the age of the document, to be given to peers together with it.
func (v *View) Age(now time.Duration) time.Duration { return now - v.current }

// Honoured returns the targets that the node holds to be ejected now.
func (v *View) Honoured(now time.Duration) []model.TargetID {
	var targets []model.TargetID
	for _, entry := range v.doc.Entries {
		if !entry.Retiring && v.sightings[entry.generation()].honoured(now) {
			targets = append(targets, entry.Target)
		}
	}
	return targets
}

// Collect returns the newest document with the entries retired or removed that this node has seen for long enough. It
// fails with ErrUnchanged if there are none.
func (v *View) Collect(now time.Duration) (Document, error) {
	return collect(v.doc, func(g generation) bool { return v.sightings[g].due(now, g.retiring) })
}
