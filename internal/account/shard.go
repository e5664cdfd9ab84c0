package account

import (
	"slices"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// shard is an immutable part of an index.
type shard struct {
	// entries are sorted by hash. A key of several accounts has an entry for each.
	entries []entry
	// hasShared means that a key belongs to several accounts.
	hasShared bool
}

// find returns the entries of the hash.
func (s *shard) find(hash declaration.KeyHash) []entry {
	first, found := slices.BinarySearchFunc(s.entries, hash, entry.compare)
	if !found {
		return nil
	}
	return s.entries[first : first+runLength(s.entries[first:])]
}

// runLength returns the number of entries at the beginning that have the same hash.
func runLength(entries []entry) int {
	length := 1
	for length < len(entries) && entries[length].hash == entries[0].hash {
		length++
	}
	return length
}

// replaced returns the shard without the entries of the removed accounts and with the added entries.
func (s *shard) replaced(removed map[*declaration.Account]bool, added []entry) shard {
	next := make([]entry, 0, len(s.entries)+len(added))
	for _, e := range s.entries {
		if !removed[e.account] {
			next = append(next, e)
		}
	}
	next = slices.Clip(append(next, added...))
	slices.SortStableFunc(next, func(a, b entry) int { return a.compare(b.hash) })
	return shard{entries: next, hasShared: hasSharedKey(next)}
}

func hasSharedKey(entries []entry) bool {
	for i := 1; i < len(entries); i++ {
		if entries[i].hash == entries[i-1].hash {
			return true
		}
	}
	return false
}

// shared returns the entries of each key that several accounts have.
func (s *shard) shared() [][]entry {
	if !s.hasShared {
		return nil
	}
	var shared [][]entry
	for rest := s.entries; len(rest) > 0; {
		length := runLength(rest)
		if length > 1 {
			shared = append(shared, rest[:length])
		}
		rest = rest[length:]
	}
	return shared
}
