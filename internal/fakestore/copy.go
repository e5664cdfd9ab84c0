package fakestore

import (
	"maps"

	"github.com/sardinereach/sardinereach/internal/store"
)

// Copy is the content of a store at one time.
type Copy struct {
	revision int64
	keys     map[string]store.KV
}

// Copy returns the current content, for Restore.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{revision: s.state.revision, keys: maps.Clone(s.state.keys)}
}
