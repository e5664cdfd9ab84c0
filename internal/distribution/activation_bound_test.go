package distribution_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/store"
)

const (
	// activationBound is the time within which an acknowledged change has to be active on all nodes (configApplyS).
	activationBound = 2500 * time.Millisecond
	// stableWindow is the time after a disruption of the store from which the bound holds (stableWindowS).
	stableWindow = 3 * time.Second
)

// Guards against watchers that are still in their backoff when the bound for a change after a store outage has passed.
func TestChangeAfterOutageIsActiveWithinTheBound(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v1")
		nodes := f.startMany(1)
		f.waitFor(time.Minute, "readiness", nodes, ready)
		for seconds := 8; seconds <= 32; seconds++ {
			path := fmt.Sprintf("/after-%d-s", seconds)
			f.storeDown(true)
			time.Sleep(time.Duration(seconds) * time.Second)
			f.storeDown(false)
			time.Sleep(stableWindow - activationBound)
			f.declare("ledger", path)
			f.waitFor(activationBound, "the change "+path, nodes, hasRoute("ledger", path))
			time.Sleep(time.Minute)
		}
	})
}

// silentStore accepts calls and never answers them while silent is set. A call that arrived then is not answered later
// either.
type silentStore struct {
	store.Store
	silent atomic.Bool
}

func (s *silentStore) List(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return nil, 0, store.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

func (s *silentStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return nil, 0, store.ErrUnavailable
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

func (s *silentStore) Ping(ctx context.Context, key string) error {
	if s.silent.Load() {
		<-ctx.Done()
		return store.ErrUnavailable
	}
	return s.Store.Ping(ctx, key)
}

// Guards against watchers that wait for an answer to a watch that the store has forgotten.
func TestChangeAfterSilentOutageIsActiveWithinTheBound(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		silent := &silentStore{Store: f.store}
		f.options = func(o *distribution.Options) { o.Store, o.StoreTimeout = silent, time.Second }
		f.declare("ledger", "/v1")
		nodes := f.startMany(1)
		f.waitFor(time.Minute, "readiness", nodes, ready)
		for seconds := 8; seconds <= 32; seconds++ {
			path := fmt.Sprintf("/after-%d-s", seconds)
			silent.silent.Store(true)
			time.Sleep(time.Duration(seconds) * time.Second)
			silent.silent.Store(false)
			time.Sleep(stableWindow - activationBound)
			f.declare("ledger", path)
			f.waitFor(activationBound, "the change "+path, nodes, hasRoute("ledger", path))
			time.Sleep(time.Minute)
		}
	})
}
