package distribution_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/store"
)

// watchersInTest is the number of watchers of a test fleet with at least two nodes in each of its four domains.
const watchersInTest = 8

// storeCalls returns the watches and the probes since the counts of before.
func (f *fleet) storeCalls(before map[string]uint64) (watches, probes uint64) {
	now := f.store.Counts()
	return now[store.KindWatch] - before[store.KindWatch], now[store.KindPing] - before[store.KindPing]
}

// calmWatches returns how many watches the watchers may send in the given time while nothing changes: 6 in 5 s of the
// configuration, whose answers confirm it, and one in 5 s of each of the two other prefixes.
func calmWatches(seconds int) uint64 { return uint64(watchersInTest * seconds * (6 + 1 + 1) / 5) }

// Guards against probes by nodes that are not watchers, and against calls without a pause while the store refuses them.
func TestCallsOfWatchersAreBounded(t *testing.T) {
	t.Parallel()
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v1")
		nodes := f.startMany(24)
		f.waitFor(time.Minute, "readiness", nodes, ready)
		time.Sleep(time.Minute)
		const minutes = 10
		const seconds = minutes * 60
		before := f.store.Counts()
		time.Sleep(minutes * time.Minute)
		watches, probes := f.storeCalls(before)
		t.Logf("calm: %d watches, %d probes in %d s", watches, probes, seconds)
		if probes > 2*watchersInTest*seconds || probes < watchersInTest*seconds {
			t.Errorf("%d probes in %d s, want 1 to 2 a second for each of %d watchers", probes, seconds, watchersInTest)
		}
		if limit := calmWatches(seconds); watches > limit {
			t.Errorf("%d watches in %d s while nothing changes, want at most %d", watches, seconds, limit)
		}
		before = f.store.Counts()
		f.storeDown(true)
		time.Sleep(minutes * time.Minute)
		watches, probes = f.storeCalls(before)
		t.Logf("outage: %d watches, %d probes in %d s", watches, probes, seconds)
		if probes > 2*watchersInTest*seconds {
			t.Errorf("%d probes in an outage of %d s, want at most 2 a second for each watcher", probes, seconds)
		}
		if limit := uint64(3 * watchersInTest * seconds / 3); watches > limit {
			t.Errorf("%d watches in an outage of %d s, want at most %d", watches, seconds, limit)
		}
	})
}

// Guards against probes that time out and cancel the watches of a store that is only slow.
func TestChangeArrivesFromStoreSlowerThanProbeTimeout(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.options = func(o *distribution.Options) { o.ProbeTimeout, o.StoreTimeout = time.Second, 2*time.Second }
		f.declare("ledger", "/v1")
		nodes := f.startMany(8)
		f.waitFor(time.Minute, "readiness", nodes, ready)
		const delayMS = 1500
		f.store.SetFaults(fakestore.Faults{DelayMS: delayMS})
		time.Sleep(20 * time.Second)
		f.declare("ledger", "/v2")
		f.waitFor(10*time.Second, "the change", nodes, hasRoute("ledger", "/v2"))
	})
}

// refusingStore refuses every second probe and every watch, as a store that is over its limits does.
type refusingStore struct {
	store.Store
	pings, watches atomic.Int64
}

func (s *refusingStore) Ping(context.Context, string) error {
	if s.pings.Add(1)%2 == 0 {
		return store.ErrUnavailable
	}
	return nil
}

func (s *refusingStore) Watch(context.Context, string, int64, time.Duration) ([]store.Change, int64, error) {
	s.watches.Add(1)
	return nil, 0, store.ErrUnavailable
}

// Guards against a hot loop of watches that are refused while some probes are answered.
func TestRefusedWatchesDoNotFollowEachOtherAtOnce(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v1")
		refusing := &refusingStore{Store: f.store}
		f.options = func(o *distribution.Options) { o.Store, o.NoEjections = refusing, true }
		f.startMany(1)
		const seconds = 600
		time.Sleep(seconds * time.Second)
		t.Logf("%d watches, %d probes in %d s", refusing.watches.Load(), refusing.pings.Load(), seconds)
		if limit := int64(2 * 2 * seconds); refusing.watches.Load() > limit {
			t.Errorf("%d watches in %d s, want at most %d for two prefixes", refusing.watches.Load(), seconds, limit)
		}
	})
}

// Guards against a fleet that receives no changes from a store whose answers take longer than StoreTimeout.
func TestChangeArrivesFromStoreSlowerThanStoreTimeout(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.options = func(o *distribution.Options) { o.StoreTimeout = time.Second }
		f.declare("ledger", "/v1")
		nodes := f.startMany(8)
		f.waitFor(time.Minute, "readiness", nodes, ready)
		const delayMS = 2000
		f.store.SetFaults(fakestore.Faults{DelayMS: delayMS})
		time.Sleep(20 * time.Second)
		f.declare("ledger", "/v2")
		f.waitFor(15*time.Second, "the change", nodes, hasRoute("ledger", "/v2"))
	})
}
