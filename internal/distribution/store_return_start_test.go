package distribution_test

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/distribution"
)

// startDuringOutage starts nodes while the store is down and their seeds are lost, and ends the outage after the given time.
func (f *fleet) startDuringOutage(count int, outage time.Duration) []*testNode {
	f.declare("ledger", "/v1")
	f.storeDown(true)
	f.options = func(o *distribution.Options) { o.StoreTimeout = time.Second }
	nodes := make([]*testNode, count)
	for i := range nodes {
		nodes[i] = f.start(i, "10.0.1.1:7000", "10.0.1.2:7000", "10.0.1.3:7000")
	}
	time.Sleep(outage)
	f.storeDown(false)
	return nodes
}

// Guards against nodes that start during an outage and pause after the store has returned.
func TestNodesThatStartDuringAnOutageAreReadySoonAfterIt(t *testing.T) {
	for _, outage := range []time.Duration{7 * time.Second, 20 * time.Second, 90 * time.Second, 10 * time.Minute} {
		t.Run(outage.String(), func(t *testing.T) {
			runInFleet(t, func(f *fleet) {
				nodes := f.startDuringOutage(8, outage)
				took := f.waitFor(stableWindow, "readiness", nodes, ready)
				t.Logf("ready after %v", took)
			})
		})
	}
}

// Guards against nodes that start during an outage and do not find each other for long after the store has returned.
func TestNodesThatStartDuringAnOutageFindEachOtherSoonAfterIt(t *testing.T) {
	const limit = 8 * time.Second
	for _, outage := range []time.Duration{7 * time.Second, 20 * time.Second, 90 * time.Second, 10 * time.Minute} {
		t.Run(outage.String(), func(t *testing.T) {
			runInFleet(t, func(f *fleet) {
				nodes := f.startDuringOutage(8, outage)
				took := f.waitFor(limit, "the members", nodes, hasLiveMembers(8))
				t.Logf("complete after %v", took)
			})
		})
	}
}

// Guards against watchers of a long outage that read the configuration late after it.
func TestChangeAfterLongOutageIsActiveWithinTheBound(t *testing.T) {
	t.Parallel()
	for _, mode := range []storeMode{storeRefuses, storeSilent} {
		r := storeReturn{nodes: 24, stable: stableWindow, mode: mode, outage: 90 * time.Second, disrupt: storeReturns, keep: 1}
		t.Run(r.String(), func(t *testing.T) { r.play(t, 1) })
	}
}
