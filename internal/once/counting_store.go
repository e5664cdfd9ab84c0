package once

import (
	"context"

	"github.com/sardinereach/sardinereach/internal/store"
)

// countingStore counts the store calls of a garbage collection run.
type countingStore struct {
	store.Store
	calls int
}

// Get implements store.Store.
func (s *countingStore) Get(ctx context.Context, key string) (store.KV, error) {
	s.calls++
	return s.Store.Get(ctx, key)
}

// List implements store.Store.
func (s *countingStore) List(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	s.calls++
	return s.Store.List(ctx, prefix)
}

// CompareAndSwap implements store.Store.
func (s *countingStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease store.LeaseID) (store.KV, error) {
	s.calls++
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

// CompareAndDelete implements store.Store.
func (s *countingStore) CompareAndDelete(ctx context.Context, key string, expect int64) error {
	s.calls++
	return s.Store.CompareAndDelete(ctx, key, expect)
}
