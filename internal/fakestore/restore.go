package fakestore

import (
	"slices"

	"github.com/sardinereach/sardinereach/internal/store"
)

// Restore replaces the content by an older copy and starts the next era: revisions since the copy are given out again, at
// the positions that store.Revision returns for the new era. The current keys under the rewritten prefixes are then
// written again, as their writer would do. All leases and their keys end. The history before the restore is gone.
func (s *Store) Restore(from *Copy, rewrittenPrefixes ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rewritten []store.KV
	for _, prefix := range rewrittenPrefixes {
		rewritten = append(rewritten, s.state.list(prefix)...)
	}
	s.state.restore(from, store.Era(s.state.revision)+1)
	for _, kv := range rewritten {
		_, _ = s.state.swap(kv.Key, s.state.keys[kv.Key].Revision, kv.Value, 0)
	}
}

// restore replaces the content by the copy, at positions of the era.
func (s *state) restore(from *Copy, era int64) {
	for _, ended := range s.leases {
		ended.timer.Stop()
	}
	clear(s.leases)
	s.revision = store.Revision(era, store.WithinEra(from.revision))
	s.keys = make(map[string]store.KV, len(from.keys))
	for key, kv := range from.keys {
		if kv.Lease != 0 {
			continue
		}
		kv.Value = slices.Clone(kv.Value)
		kv.Revision = store.Revision(era, store.WithinEra(kv.Revision))
		s.keys[key] = kv
	}
	s.history = history{limit: s.history.limit, compacted: s.revision}
	s.wake()
}
