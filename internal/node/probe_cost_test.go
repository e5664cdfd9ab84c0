package node

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/store"
)

// slowStore is a store that takes slowStoreDelay for each call and counts compare-and-swap calls.
type slowStore struct {
	store.Store
	swaps *atomic.Int64
}

const slowStoreDelay = 5 * time.Millisecond

func (s slowStore) Get(ctx context.Context, key string) (store.KV, error) {
	time.Sleep(slowStoreDelay)
	return s.Store.Get(ctx, key)
}

func (s slowStore) CompareAndSwap(ctx context.Context, key string, revision int64, value []byte, lease store.LeaseID) (store.KV, error) {
	s.swaps.Add(1)
	time.Sleep(slowStoreDelay)
	return s.Store.CompareAndSwap(ctx, key, revision, value, lease)
}

// Guards against one write of the store by each node that has the request when a probe is due: the fleet shares a limit of writes.
func TestWritesForAProbeDoNotGrowWithTheFleet(t *testing.T) {
	small, large := writesForProbe(t, 10), writesForProbe(t, 60)
	if small == 0 || large > small {
		t.Errorf("%d writes by 60 nodes for one probe, %d by 10 nodes", large, small)
	}
}

// writesForProbe returns the number of writes when all nodes have the request at the moment at which its probe is due.
func writesForProbe(t *testing.T, nodes int) int64 {
	var swaps atomic.Int64
	runCrashFleet(t, func(f *crashFleet) {
		for range nodes {
			f.start()
		}
		f.quarantineAtTwoTargets(f.trackers[0], f.trackers[1])
		var requests sync.WaitGroup
		for _, c := range f.trackers {
			c.store = slowStore{f.store, &swaps}
			requests.Go(func() { c.awaitAllowed(f.t.Context(), crashingRequest("t9")) })
		}
		requests.Wait()
	})
	return swaps.Load()
}
