package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// removeExpired removes the records whose lifetime has ended.
func (t *Table) removeExpired(now time.Duration) {
	for fingerprint, r := range t.records {
		if r.expired(now) {
			delete(t.records, fingerprint)
		}
	}
}

// evictExcess removes records until the table contains at most MaxEntries.
func (t *Table) evictExcess() {
	excess := len(t.records) - MaxEntries
	if excess <= 0 {
		return
	}
	records := slices.SortedFunc(maps.Values(t.records), compareEvictionOrder)
	for _, r := range records[:excess] {
		delete(t.records, r.fingerprint)
	}
}

// compareEvictionOrder orders records so that the one to evict first comes first.
func compareEvictionOrder(a, b *record) int {
	return cmp.Or(
		cmp.Compare(incriminating(a.losses), incriminating(b.losses)),
		cmp.Compare(len(a.losses), len(b.losses)),
		cmp.Compare(a.since, b.since),
		cmp.Compare(a.fingerprint, b.fingerprint),
	)
}

// sortedEntries returns all entries in order of their fingerprints.
func (t *Table) sortedEntries(now time.Duration) []Entry {
	entries := make([]Entry, 0, len(t.records))
	for _, fingerprint := range sortedKeys(t.records) {
		entries = append(entries, t.records[fingerprint].entry(now))
	}
	return entries
}

// sortedKeys returns the fingerprints of a map in order.
func sortedKeys[V any](m map[Fingerprint]V) []Fingerprint {
	return slices.Sorted(maps.Keys(m))
}
