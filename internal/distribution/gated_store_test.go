package distribution_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sardinereach/sardinereach/internal/store"
)

// gatedStore is the store as one node sees it, which can lose its way to it.
type gatedStore struct {
	store.Store
	closed atomic.Bool
	// silenced counts the times at which all open connections went silent.
	silenced atomic.Int64
}

func (g *gatedStore) List(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	if g.closed.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return g.Store.List(ctx, prefix)
}

func (g *gatedStore) CompareAndSwap(
	ctx context.Context, key string, expect int64, value []byte, lease store.LeaseID,
) (store.KV, error) {
	if g.closed.Load() {
		return store.KV{}, store.ErrUnavailable
	}
	return g.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

func (g *gatedStore) Watch(
	ctx context.Context, prefix string, after int64, wait time.Duration,
) ([]store.Change, int64, error) {
	if g.closed.Load() {
		return nil, 0, store.ErrUnavailable
	}
	connection := g.silenced.Load()
	changes, revision, err := g.Store.Watch(ctx, prefix, after, wait)
	if g.silenced.Load() != connection {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	if g.closed.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return changes, revision, err
}

// impatientStore gives up each swap after a limit, so that slow swaps take effect late.
type impatientStore struct {
	store.Store
	limit time.Duration
}

func (s *impatientStore) CompareAndSwap(
	ctx context.Context, key string, expect int64, value []byte, lease store.LeaseID,
) (store.KV, error) {
	limited, cancel := context.WithTimeout(ctx, s.limit)
	defer cancel()
	return s.Store.CompareAndSwap(limited, key, expect, value, lease)
}
