// Package fakestore is an in-memory replacement for the platform store in tests and examples. It injects faults on
// demand: refused calls, slow calls, lost responses, lapsed leases, compacted changes and rate limits.
package fakestore

import (
	"context"
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/internal/store"
)

// Store is the fake store. It implements store.Store without a network; Handler serves it over connect. Its timers come
// from package time, so it follows the fake clock of a testing/synctest bubble.
type Store struct {
	mu     sync.Mutex
	state  *state
	faults Faults
	limits limiters
	counts map[string]uint64
}

var _ store.Store = (*Store)(nil)

// New returns an empty store.
func New(options Options) *Store {
	return &Store{
		state:  newState(options.withDefaults()),
		counts: map[string]uint64{},
	}
}

// SetFaults replaces the injected faults and wakes waiting watches.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.limits = newLimiters(faults)
	s.state.wake()
}

// Faults returns the injected faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the number of calls by kind (see store.Kinds), refused ones included.
func (s *Store) Counts() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]uint64, len(s.counts))
	for kind, count := range s.counts {
		counts[kind] = count
	}
	return counts
}

// LapseLeases ends all leases at once, as if their TTL had expired, and deletes their keys.
func (s *Store) LapseLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.state.leases {
		s.state.endLease(id)
	}
}

// Compact deletes the history of all changes so far, so that watches from an earlier revision fail with
// store.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.history.compactThrough(s.state.revision)
}

// Revision returns the revision of the last change.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.revision
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (kv store.KV, err error) {
	err = s.read(ctx, store.KindGet, func() error {
		found, exists := s.state.keys[key]
		if !exists {
			return store.ErrNotFound
		}
		kv = found
		return nil
	})
	return kv, err
}

// Ping implements store.Store.
func (s *Store) Ping(ctx context.Context, _ string) error {
	return s.read(ctx, store.KindPing, func() error { return nil })
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) (kvs []store.KV, revision int64, err error) {
	err = s.read(ctx, store.KindList, func() error {
		kvs, revision = s.state.list(prefix), s.state.revision
		return nil
	})
	return kvs, revision, err
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(
	ctx context.Context, key string, expect int64, value []byte, id store.LeaseID,
) (store.KV, error) {
	return write(ctx, s, store.KindCompareAndSwap, func() (store.KV, error) {
		return s.state.swap(key, expect, value, id)
	})
}

// CompareAndDelete implements store.Store.
func (s *Store) CompareAndDelete(ctx context.Context, key string, expect int64) error {
	_, err := write(ctx, s, store.KindCompareAndDelete, func() (struct{}, error) {
		return struct{}{}, s.state.compareAndDelete(key, expect)
	})
	return err
}

// GrantLease implements store.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return write(ctx, s, store.KindGrantLease, func() (store.LeaseID, error) {
		granted, err := s.state.grantLease(ttl)
		if err != nil {
			return 0, err
		}
		granted.timer = time.AfterFunc(ttl, func() { s.lapse(granted) })
		return granted.id, nil
	})
}

// lapse ends a lease whose TTL has expired. It does nothing if the lease has ended already: IDs are never reused.
func (s *Store) lapse(lapsed *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.endLease(lapsed.id)
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	_, err := write(ctx, s, store.KindKeepAlive, func() (struct{}, error) {
		active := s.state.leases[id]
		if active == nil {
			return struct{}{}, store.ErrLeaseLapsed
		}
		active.timer.Reset(active.ttl)
		return struct{}{}, nil
	})
	return err
}

// RevokeLease implements store.Store.
func (s *Store) RevokeLease(ctx context.Context, id store.LeaseID) error {
	_, err := write(ctx, s, store.KindRevokeLease, func() (struct{}, error) {
		s.state.endLease(id)
		return struct{}{}, nil
	})
	return err
}
