package distribution_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sardinereach/sardinereach/internal/store"
)

// faultyStore is a store that can become unavailable or unresponsive for the nodes that use it.
type faultyStore struct {
	store.Store
	unavailable atomic.Bool
	// blackholes counts how often all open connections became unresponsive.
	blackholes atomic.Int64
}

func (s *faultyStore) List(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	if s.unavailable.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s *faultyStore) CompareAndSwap(
	ctx context.Context, key string, expectedRevision int64, value []byte, lease store.LeaseID,
) (store.KV, error) {
	if s.unavailable.Load() {
		return store.KV{}, store.ErrUnavailable
	}
	return s.Store.CompareAndSwap(ctx, key, expectedRevision, value, lease)
}

func (s *faultyStore) Watch(
	ctx context.Context, prefix string, after int64, wait time.Duration,
) ([]store.Change, int64, error) {
	if s.unavailable.Load() {
		return nil, 0, store.ErrUnavailable
	}
	blackholesBefore := s.blackholes.Load()
	changes, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	if s.blackholes.Load() != blackholesBefore {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	if s.unavailable.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return changes, revision, err
}

func (s *faultyStore) Ping(ctx context.Context, key string) error {
	if s.unavailable.Load() {
		return store.ErrUnavailable
	}
	return s.Store.Ping(ctx, key)
}

// swapTimeoutStore cancels each swap after a timeout, so that slow swaps take effect after the caller has stopped
// waiting.
type swapTimeoutStore struct {
	store.Store
	timeout time.Duration
}

func (s *swapTimeoutStore) CompareAndSwap(
	ctx context.Context, key string, expectedRevision int64, value []byte, lease store.LeaseID,
) (store.KV, error) {
	callCtx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.Store.CompareAndSwap(callCtx, key, expectedRevision, value, lease)
}
