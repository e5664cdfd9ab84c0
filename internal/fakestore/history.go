package fakestore

import (
	"sort"
	"strings"

	"github.com/sardinereach/sardinereach/internal/store"
)

// history stores the most recent changes in the order of their revisions.
type history struct {
	limit   int
	changes []store.Change
	// compacted is the highest revision whose change is no longer stored.
	compacted int64
}

func (h *history) add(change store.Change) {
	h.changes = append(h.changes, change)
	if len(h.changes) > h.limit {
		h.compactThrough(h.changes[len(h.changes)-h.limit-1].Revision)
	}
}

func (h *history) compactThrough(revision int64) {
	if revision <= h.compacted {
		return
	}
	h.changes = h.changes[h.indexAfter(revision):]
	h.compacted = revision
}

// after returns the changes under prefix after the revision. It returns false if some of them may have been compacted.
func (h *history) after(prefix string, revision int64) ([]store.Change, bool) {
	if revision < h.compacted {
		return nil, false
	}
	var found []store.Change
	for _, change := range h.changes[h.indexAfter(revision):] {
		if strings.HasPrefix(change.Key, prefix) {
			found = append(found, change)
		}
	}
	return found, true
}

func (h *history) indexAfter(revision int64) int {
	return sort.Search(len(h.changes), func(i int) bool { return h.changes[i].Revision > revision })
}
