package distribution_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/store"
)

// forgetfulStore forgets pending watches: after forget was called, the watches that were sent before are never answered.
type forgetfulStore struct {
	store.Store
	forgotten atomic.Int64
}

func (s *forgetfulStore) forget() { s.forgotten.Add(1) }

func (s *forgetfulStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	before := s.forgotten.Load()
	changes, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	if s.forgotten.Load() != before {
		<-ctx.Done()
		return nil, 0, store.ErrUnavailable
	}
	return changes, revision, err
}

// Guards against watches that the store has forgotten while it answered all probes, so that a change waits for their time-out.
func TestChangeAfterForgottenWatchesIsActiveWithinTheBound(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		forgetful := &forgetfulStore{Store: f.store}
		f.options = func(o *distribution.Options) {
			o.Store, o.StoreTimeout, o.NoEjections = forgetful, time.Second, true
		}
		f.declare("ledger", "/v1")
		nodes := f.startSettled(24)
		for i, path := range []string{"/v2", "/v3", "/v4", "/v5", "/v6"} {
			f.declare("ledger", path)
			f.waitFor(activationBound, "the change "+path, nodes, hasRoute("ledger", path))
			// All watchers send their next watch after WatchPause. Then the store forgets all of them.
			time.Sleep(500*time.Millisecond + time.Duration(i)*100*time.Millisecond)
			forgetful.forget()
			time.Sleep(stableWindow)
			f.declare("ledger", path+"/next")
			took := f.waitFor(activationBound, "the change after "+path, nodes, hasRoute("ledger", path+"/next"))
			t.Logf("active after %v", took)
			time.Sleep(20 * time.Second)
		}
	})
}

// Guards against nodes that lack a change because their clocks were set back between two starts, so that their peers take their
// records for older ones.
func TestChangeOnNodesWithClocksSetBackIsActiveWithinTheBound(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.options = func(o *distribution.Options) { o.StoreTimeout, o.NoEjections = time.Second, true }
		f.declare("ledger", "/v1")
		nodes := f.startSettled(24)
		newest := f.incarnation
		for i := range 12 {
			f.stop(nodes[i])
			f.incarnation = nodes[i].self.Incarnation - 1
			nodes[i] = f.start(i, nodes[12+i].self.PeerAddress)
		}
		f.incarnation = newest
		for i, path := range []string{"/after-3-s", "/after-6-s", "/after-20-s", "/after-60-s"} {
			time.Sleep([]time.Duration{3, 3, 14, 40}[i] * time.Second)
			f.declare("ledger", path)
			took := f.waitFor(activationBound, "the change "+path, nodes, hasRoute("ledger", path))
			t.Logf("%s: active after %v", path, took)
		}
	})
}
