package distribution_test

import (
	"testing"
	"time"
)

// restartLimit is the time after which a node that restarts while the store answers has to accept callers again: a few round
// trips, and the time over which the nodes spread out their first reads.
const restartLimit = 600 * time.Millisecond

// Guards against nodes that refuse callers for seconds after a restart of all nodes, because they wait for their turn to write
// their member records before they read the configuration.
func TestNodesThatRestartTogetherAreReadySoon(t *testing.T) {
	for _, size := range []int{2, 24, 82} {
		runInFleet(t, func(f *fleet) {
			w := newFaultWorld(f, size, uint64(size), activationBound, stableWindow)
			for _, node := range w.running() {
				f.stop(node)
			}
			time.Sleep(time.Second)
			nodes := f.startMany(size)
			took := f.waitFor(restartLimit, "readiness", nodes, ready)
			t.Logf("%d nodes are ready after %v", size, took)
			f.waitFor(3*time.Second, "the members", nodes, hasLiveMembers(size))
		})
	}
}
