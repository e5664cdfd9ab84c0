// Package config is the table of operators' documents at one node. Documents merge by key and revision: the greater
// revision stands, whatever the order of arrival, so that an accepted change never reverts.
//
// A table is complete up to a revision if for every key it holds the last change up to that revision, or a later one,
// or the key has a later change that is still to come. The package is pure; the caller serializes the calls of one
// table.
package config

import (
	"sort"
	"strings"
)

// Table holds the documents under one prefix of the store.
type Table struct {
	prefix  string
	entries map[string]*entry
	// order has the entries by revision, so that Since reads only the newer ones.
	order []*entry
	// complete is the revision up to which the table is complete.
	complete int64
	// proven is complete while that is at least base. Below base, a range has come but not yet all documents that belong
	// to it; then proven is the revision from before the range, and all that peers may rely on.
	proven int64
	// base is the greatest revision at or before which deletions may be unknown to the table.
	base         int64
	maxTombstone int
	tombstones   int
	snapshot     *Snapshot
}

// DefaultMaxTombstones bounds the deleted keys that a table remembers. Older deletions are told by a range.
const DefaultMaxTombstones = 1024

// NewTable returns an empty table for the keys under prefix, which ends in "/". It remembers up to maxTombstones
// deleted keys one by one; 0 means DefaultMaxTombstones.
func NewTable(prefix string, maxTombstones int) *Table {
	if maxTombstones == 0 {
		maxTombstones = DefaultMaxTombstones
	}
	return &Table{
		prefix:       prefix,
		entries:      map[string]*entry{},
		maxTombstone: maxTombstones,
	}
}

// Complete returns the store revision up to which the table is complete.
func (t *Table) Complete() int64 { return t.complete }

// Proven returns the revision up to which a peer that gets all documents of this table is complete. It is less than
// Complete only between the parts of a cut answer.
func (t *Table) Proven() int64 { return t.proven }

// Base returns the revision up to which deletions may be unknown to the table.
func (t *Table) Base() int64 { return t.base }

// Len returns the number of keys held, remembered deletions included.
func (t *Table) Len() int { return len(t.entries) }

// Revision returns the highest revision of a document in the table, 0 if there is none.
func (t *Table) Revision() int64 {
	if len(t.order) == 0 {
		return 0
	}
	return t.order[len(t.order)-1].document.Revision
}

// Get returns the newest document of the key, which may be a deletion.
func (t *Table) Get(key string) (Document, bool) {
	held := t.entries[key]
	if held == nil {
		return Document{}, false
	}
	return held.document, true
}

// Apply merges documents from a watch or a peer and returns those that replaced an older one or were new.
// Documents of other prefixes are left out.
func (t *Table) Apply(documents []Document) []Document {
	return t.merge(documents)
}

// Advance states that the documents applied so far make the table complete up to the revision.
func (t *Table) Advance(revision int64) {
	if revision <= t.complete {
		return
	}
	t.complete = revision
	if revision >= t.base {
		t.proven = revision
	}
	t.forgetTombstones()
	t.snapshot = nil
}

// ApplyList merges a complete list of the keys at a store revision: keys that it lacks were deleted at or before it.
func (t *Table) ApplyList(documents []Document, revision int64) []Document {
	if revision <= t.complete {
		return t.merge(documents)
	}
	listed := make(map[string]bool, len(documents))
	for _, document := range documents {
		listed[document.Key] = true
	}
	changed := t.merge(append(t.missing(listed, revision), documents...))
	t.base = max(t.base, revision)
	t.Advance(revision)
	return changed
}

// missing returns deletions for the held keys that a list at the revision does not have.
func (t *Table) missing(listed map[string]bool, revision int64) []Document {
	var deletions []Document
	for key, held := range t.entries {
		if held.document.Deleted || held.document.Revision > revision || listed[key] {
			continue
		}
		deletions = append(deletions, Document{Key: key, Revision: revision, Deleted: true})
	}
	return deletions
}

// Since returns the documents with a greater revision, in the order of revisions, deletions included. If the table may
// lack deletions after the revision, a range comes first; a table that has not got all documents of a range itself
// gives none.
func (t *Table) Since(revision int64) []Document {
	first := sort.Search(len(t.order), func(i int) bool { return t.order[i].document.Revision > revision })
	documents := make([]Document, 0, len(t.order)-first+1)
	if revision < t.base && t.base <= t.complete {
		documents = append(documents, t.rangeDocument())
	}
	for _, held := range t.order[first:] {
		documents = append(documents, held.document)
	}
	return documents
}

// rangeDocument names all keys that exist; every other key was deleted at or before base, or is told one by one.
func (t *Table) rangeDocument() Document {
	var names []string
	for key, held := range t.entries {
		if !held.document.Deleted {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	return Document{Key: t.prefix, Value: []byte(strings.Join(names, "\n")), Revision: t.base, Deleted: true}
}

// Snapshot returns the configuration in force. The same pointer is returned until something changes.
func (t *Table) Snapshot() *Snapshot {
	if t.snapshot == nil {
		t.snapshot = t.newSnapshot()
	}
	return t.snapshot
}

func (t *Table) newSnapshot() *Snapshot {
	snapshot := newSnapshot()
	snapshot.Complete = t.complete
	for key, held := range t.entries {
		if held.err != nil {
			snapshot.Rejected[key] = held.rejection()
		}
		if held.service != nil {
			snapshot.Services[held.service.Name] = held.service
			snapshot.Revisions[held.service.Name] = held.good
		}
	}
	return snapshot
}
