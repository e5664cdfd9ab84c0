package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// expire drops the records that have outlived their lifetime.
func (t *Table) expire(now time.Duration) {
	for fingerprint, r := range t.entries {
		if r.expired(now) {
			delete(t.entries, fingerprint)
		}
	}
}

// bound drops records until the table holds at most MaxEntries.
func (t *Table) bound() {
	excess := len(t.entries) - MaxEntries
	if excess <= 0 {
		return
	}
	records := slices.SortedFunc(maps.Values(t.entries), compareWorth)
	for _, r := range records[:excess] {
		delete(t.entries, r.fingerprint)
	}
}

// compareWorth orders records from the one to drop first.
func compareWorth(a, b *record) int {
	return cmp.Or(
		cmp.Compare(len(a.losses), len(b.losses)),
		cmp.Compare(a.since, b.since),
		cmp.Compare(a.fingerprint, b.fingerprint),
	)
}

// sorted returns all entries in order of their fingerprints.
func (t *Table) sorted(now time.Duration) []Entry {
	entries := make([]Entry, 0, len(t.entries))
	for _, fingerprint := range sortedKeys(t.entries) {
		entries = append(entries, t.entries[fingerprint].entry(now))
	}
	return entries
}

// sortedKeys returns the fingerprints of a map in order.
func sortedKeys[V any](m map[Fingerprint]V) []Fingerprint {
	return slices.Sorted(maps.Keys(m))
}
