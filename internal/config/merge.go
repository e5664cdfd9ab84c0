package config

import (
	"sort"
	"strings"
)

// merge applies documents and returns those that changed the table, in the order of their revisions.
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
		// The table has the last change up to complete, so the document was replaced or deleted since. It may not show in
		// the table: old deletions are forgotten, and a list shows no deletion of a key that came and went before it.
		return false
	}
	held := t.entries[document.Key]
	if held == nil {
		held = &entry{}
		t.entries[document.Key] = held
		t.order = append(t.order, held)
	} else if document.Revision <= held.document.Revision {
		return false
	}
	if held.document.Deleted {
		t.tombstones--
	}
	if document.Deleted {
		t.tombstones++
	}
	held.accept(document)
	return true
}

// mergeRange deletes the held keys that the range does not name.
func (t *Table) mergeRange(document Document) []Document {
	if document.Key != t.prefix {
		return nil
	}
	named := map[string]bool{}
	for _, key := range strings.Split(string(document.Value), "\n") {
		named[key] = true
	}
	var changed []Document
	for _, deletion := range t.missing(named, document.Revision) {
		if t.mergeOne(deletion) {
			changed = append(changed, deletion)
		}
	}
	t.base = max(t.base, document.Revision)
	return changed
}

// reorder restores the order by revision. The order is nearly sorted, because few entries change at a time.
func (t *Table) reorder() {
	sort.SliceStable(t.order, func(i, j int) bool { return before(t.order[i].document, t.order[j].document) })
}

func before(a, b Document) bool {
	if a.Revision != b.Revision {
		return a.Revision < b.Revision
	}
	return a.Key < b.Key
}

// forgetTombstones drops the oldest deletions over the bound; the range tells them from now on. Deletions after complete
// are kept, because only complete keeps an older document of the key from coming back.
func (t *Table) forgetTombstones() {
	if t.tombstones <= t.maxTombstone {
		return
	}
	kept := t.order[:0]
	for _, held := range t.order {
		if t.tombstones > t.maxTombstone && held.document.Deleted && held.document.Revision <= t.complete {
			t.tombstones--
			t.base = max(t.base, held.document.Revision)
			delete(t.entries, held.document.Key)
			continue
		}
		kept = append(kept, held)
	}
	clear(t.order[len(kept):])
	t.order = kept
}
