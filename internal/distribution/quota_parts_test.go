package distribution_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// checkParts checks for some time that the parts of the quotas which the nodes own by their member records are not more than the whole.
func checkParts(t *testing.T, nodes []*testNode, length time.Duration) {
	t.Helper()
	most, at := 0.0, time.Duration(0)
	for start := time.Now(); time.Since(start) < length; time.Sleep(100 * time.Millisecond) {
		synctest.Wait()
		if parts := partsOf(nodes); parts > most {
			most, at = parts, time.Since(start)
		}
	}
	if most > 1+1e-9 {
		t.Errorf("%d nodes own %.3f of each quota, first after %v", len(nodes), most, at)
	}
}

func partsOf(nodes []*testNode) float64 {
	parts := 0.0
	for _, node := range nodes {
		if node.Ready() {
			parts += 1 / float64(len(node.Snapshot().Members.Members))
		}
	}
	return parts
}

// quotaStart is the time after the start of a node from which it lends its part of the quotas.
const quotaStart = 2 * time.Second

// Guards against parts of nodes that are cut off and evicted, and still use them.
func TestNodesCutOffForLongOwnNoMoreThanTheWholeQuota(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v0")
		nodes := f.startMany(8)
		time.Sleep(time.Minute)
		f.partition(func(from, to model.Node) bool { return (from.ID == "node-0") != (to.ID == "node-0") })
		checkParts(t, nodes, 15*time.Minute)
	})
}

// Guards against nodes that restart without the store and do not learn of the nodes that are cut off, which still use their parts.
func TestNodesRestartedWithoutTheStoreOwnNoMoreThanTheWholeQuota(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v0")
		nodes := f.startMany(8)
		time.Sleep(time.Minute)
		f.partition(func(from, to model.Node) bool { return from.Region != to.Region })
		f.storeDown(true)
		time.Sleep(time.Minute)
		seed := nodeIdentity(3).PeerAddress
		for _, i := range []int{2, 6, 7} {
			f.stop(nodes[i])
			nodes[i] = f.start(i, seed)
			time.Sleep(quotaStart)
			checkParts(t, nodes, 20*time.Second)
		}
	})
}
