// Package config is the table of operators' documents at one node. Documents merge by key and revision: the greater
// revision wins in any order of arrival, so that an accepted change never reverts.
//
// A table is complete up to a revision if, for every key, it has the last change up to that revision or a later one, or
// if a later change of the key is still to arrive. The package does no I/O. Calls on one table must be serialized by the
// caller.
package config

import (
	"sort"
	"strings"

	"github.com/sardinereach/sardinereach/internal/account"
)

// Table holds the documents under one prefix of the store.
type Table struct {
	prefix  string
	entries map[string]*entry
	// order has the entries sorted by revision, so that Since reads only the newer ones.
	order []*entry
	// complete is the revision up to which the table is complete.
	complete int64
	// completeForPeers equals complete while complete is at least deletionHorizon. If complete is less, a range has
	// arrived without all of its documents. Then completeForPeers stays at the revision before the range, because peers
	// must not treat the table as complete beyond it.
	completeForPeers int64
	// deletionHorizon is the greatest revision at or before which deletions may be missing from the table.
	deletionHorizon int64
	// expected is the greatest revision of a document that the tables which sent documents to this one have heard of.
	expected      int64
	maxTombstones int
	tombstones    int
	snapshot      *Snapshot
	// accounts are the client accounts of the last snapshot, changedGroups the numbers of the groups that have changed since.
	accounts      *account.Table
	changedGroups map[int]bool
}

// DefaultMaxTombstones bounds the tombstones of a table. A range represents older deletions.
const DefaultMaxTombstones = 1024

// NewTable returns an empty table for the keys under prefix, which ends in "/". It keeps up to maxTombstones deleted
// keys individually; 0 means DefaultMaxTombstones.
func NewTable(prefix string, maxTombstones int) *Table {
	if maxTombstones == 0 {
		maxTombstones = DefaultMaxTombstones
	}
	return &Table{
		prefix:        prefix,
		entries:       map[string]*entry{},
		maxTombstones: maxTombstones,
		changedGroups: map[int]bool{},
	}
}

// Complete returns the store revision up to which the table is complete.
func (t *Table) Complete() int64 { return t.complete }

// CompleteForPeers returns the revision up to which a peer that receives all documents of this table is complete. It is
// less than Complete only between the parts of a truncated response.
func (t *Table) CompleteForPeers() int64 { return t.completeForPeers }

// DeletionHorizon returns the revision up to which deletions may be missing from the table.
func (t *Table) DeletionHorizon() int64 { return t.deletionHorizon }

// Len returns the number of keys, tombstones included.
func (t *Table) Len() int { return len(t.entries) }

// Revision returns the highest revision of a document in the table, 0 if there is none.
func (t *Table) Revision() int64 {
	if len(t.order) == 0 {
		return 0
	}
	return t.order[len(t.order)-1].document.Revision
}

// Newest returns the greatest revision of a change that the table has heard of. Until the table is complete up to it, documents may be
// missing that other tables have: a page (Page) leaves out a key whose newest document comes later.
func (t *Table) Newest() int64 { return max(t.Revision(), t.deletionHorizon, t.expected) }

// Expect records the Newest of a table from which documents have come.
func (t *Table) Expect(newest int64) {
	if newest > t.expected {
		t.expected = newest
		t.snapshot = nil
	}
}

// Get returns the newest document of the key, which may be a deletion.
func (t *Table) Get(key string) (Document, bool) {
	e := t.entries[key]
	if e == nil {
		return Document{}, false
	}
	return e.document, true
}

// Apply merges documents from a watch or a peer and returns those that are new or replaced an older one. Documents
// outside the prefix are ignored.
func (t *Table) Apply(documents []Document) []Document {
	return t.merge(documents)
}

// Advance marks the table as complete up to the revision.
func (t *Table) Advance(revision int64) {
	if revision <= t.complete {
		return
	}
	t.complete = revision
	if revision >= t.deletionHorizon {
		t.completeForPeers = revision
	}
	t.removeOldTombstones()
	t.snapshot = nil
}

// ApplyList merges a complete list of the documents at a store revision. Keys that are not listed were deleted at or
// before the revision.
func (t *Table) ApplyList(documents []Document, revision int64) []Document {
	if revision <= t.complete {
		return t.merge(documents)
	}
	listed := make(map[string]bool, len(documents))
	for _, document := range documents {
		listed[document.Key] = true
	}
	changed := t.merge(append(t.unlistedDeletions(listed, revision), documents...))
	t.deletionHorizon = max(t.deletionHorizon, revision)
	t.Advance(revision)
	return changed
}

// unlistedDeletions returns deletions for the keys of the table that a list at the revision lacks.
func (t *Table) unlistedDeletions(listed map[string]bool, revision int64) []Document {
	var deletions []Document
	for key, e := range t.entries {
		if e.document.Deleted || e.document.Revision > revision || listed[key] {
			continue
		}
		deletions = append(deletions, Document{Key: key, Revision: revision, Deleted: true})
	}
	return deletions
}

// Since returns the documents with a greater revision, sorted by revision, deletions included. If the table may lack
// deletions after the revision, a range comes first. A table that has received a range without all of its documents
// returns no range.
func (t *Table) Since(revision int64) []Document {
	first := sort.Search(len(t.order), func(i int) bool { return t.order[i].document.Revision > revision })
	documents := make([]Document, 0, len(t.order)-first+1)
	if revision < t.deletionHorizon && t.deletionHorizon <= t.complete {
		documents = append(documents, t.rangeDocument())
	}
	for _, e := range t.order[first:] {
		documents = append(documents, e.document)
	}
	return documents
}

// rangeDocument lists all keys that exist. Every other key was deleted at or before deletionHorizon or has a document of
// its own.
func (t *Table) rangeDocument() Document {
	var names []string
	for key, e := range t.entries {
		if !e.document.Deleted {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	return Document{Key: t.prefix, Value: []byte(strings.Join(names, "\n")), Revision: t.deletionHorizon, Deleted: true}
}

// Snapshot returns the active configuration. It returns the same pointer until the table changes.
func (t *Table) Snapshot() *Snapshot {
	if t.snapshot == nil {
		t.snapshot = t.newSnapshot()
	}
	return t.snapshot
}

func (t *Table) newSnapshot() *Snapshot {
	snapshot := newSnapshot()
	snapshot.Complete = t.complete
	for key, e := range t.entries {
		if e.err != nil {
			snapshot.Rejected[key] = e.rejection()
		}
		if e.service != nil {
			snapshot.Services[e.service.Name] = e.service
			snapshot.Revisions[e.service.Name] = e.serviceRevision
		}
	}
	snapshot.Accounts = t.newAccounts(snapshot)
	return snapshot
}

// newAccounts returns the client accounts of a new snapshot. They are those of the last one if neither accounts nor their
// completeness have changed.
func (t *Table) newAccounts(snapshot *Snapshot) *account.Table {
	isPartial := t.isPartial() || snapshot.lacksAccounts()
	if t.accounts != nil && len(t.changedGroups) == 0 && t.accounts.IsPartial() == isPartial {
		return t.accounts
	}
	groups := make(map[int]*account.Group, len(t.changedGroups))
	for number := range t.changedGroups {
		groups[number] = nil
		if e := t.entries[AccountKey(number)]; e != nil {
			groups[number] = e.accounts
		}
	}
	clear(t.changedGroups)
	t.accounts = t.accounts.Replaced(groups, isPartial)
	return t.accounts
}

// isPartial reports whether documents up to the newest revision that the table has heard of may be missing.
func (t *Table) isPartial() bool { return t.complete == 0 || t.complete < t.Newest() }
