package config

import (
	"sort"
	"strings"
)

// merge applies documents and returns those that changed the table, sorted by revision.
func (t *Table) merge(documents []Document) []Document {
	var changed []Document
	for _, document := range documents {
		if document.isRange() {
			changed = append(changed, t.mergeRange(document)...)
			continue
		}
		if t.mergeOne(document) {
			changed = append(changed, document)
		}
	}
	if len(changed) == 0 {
		return nil
	}
	t.reorder()
	t.snapshot = nil
	sort.Slice(changed, func(i, j int) bool { return before(changed[i], changed[j]) })
	return changed
}

func (t *Table) mergeOne(document Document) bool {
	if !strings.HasPrefix(document.Key, t.prefix) || document.Key == t.prefix {
		return false
	}
	if document.Revision <= t.complete {
		// The table is complete up to this revision, so the document is already there or was replaced or deleted later. A
		// later deletion may not be in the table: old tombstones are removed, and a list does not include the deletion of
		// a key that was created and deleted before it.
		return false
	}
	e := t.entries[document.Key]
	if e == nil {
		e = &entry{}
		t.entries[document.Key] = e
		t.order = append(t.order, e)
	} else if document.Revision <= e.document.Revision {
		return false
	}
	if e.document.Deleted {
		t.tombstones--
	}
	if document.Deleted {
		t.tombstones++
	}
	e.replaceDocument(document)
	if group, ok := AccountGroupOf(document.Key); ok {
		t.changedGroups[group] = true
	}
	return true
}

// mergeRange deletes the keys of the table that the range does not list.
func (t *Table) mergeRange(document Document) []Document {
	if document.Key != t.prefix {
		return nil
	}
	listed := map[string]bool{}
	for _, key := range strings.Split(string(document.Value), "\n") {
		listed[key] = true
	}
	var changed []Document
	for _, deletion := range t.unlistedDeletions(listed, document.Revision) {
		if t.mergeOne(deletion) {
			changed = append(changed, deletion)
		}
	}
	t.deletionHorizon = max(t.deletionHorizon, document.Revision)
	return changed
}

// reorder sorts order by revision. It is nearly sorted already, because few entries change at a time.
func (t *Table) reorder() {
	sort.SliceStable(t.order, func(i, j int) bool { return before(t.order[i].document, t.order[j].document) })
}

func before(a, b Document) bool {
	if a.Revision != b.Revision {
		return a.Revision < b.Revision
	}
	return a.Key < b.Key
}

// removeOldTombstones removes the oldest deletions above maxTombstones; ranges represent them from then on. Deletions
// after complete are kept. mergeOne rejects older documents of a removed key only up to complete.
func (t *Table) removeOldTombstones() {
	if t.tombstones <= t.maxTombstones {
		return
	}
	kept := t.order[:0]
	for _, e := range t.order {
		if t.tombstones > t.maxTombstones && e.document.Deleted && e.document.Revision <= t.complete {
			t.tombstones--
			t.deletionHorizon = max(t.deletionHorizon, e.document.Revision)
			delete(t.entries, e.document.Key)
			continue
		}
		kept = append(kept, e)
	}
	clear(t.order[len(kept):])
	t.order = kept
}
