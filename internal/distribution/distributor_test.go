package distribution_test

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
)

// activationLimit is the time within which a change has to be active on all nodes.
const activationLimit = 12 * time.Second

// Guards against changes, deletions and permits that do not reach every node in time.
func TestChangesReachAllNodes(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("tariffs", "/v1")
		nodes := f.startMany(24)
		f.waitFor(time.Minute, "readiness", nodes, ready)
		f.waitFor(time.Minute, "the members", nodes, hasLiveMembers(24))
		f.declare("tariffs", "/v2")
		f.put("ejections/tariffs", []byte("permit"))
		f.put("quarantine/1f", []byte("request"))
		f.waitFor(activationLimit, "the new route", nodes, hasRoute("tariffs", "/v2"))
		f.waitFor(activationLimit, "the permit", nodes, func(n *testNode) bool {
			return len(n.Snapshot().Ejections) == 1 && len(n.Snapshot().Quarantine) == 1
		})
		f.remove("config/services/tariffs")
		f.remove("ejections/tariffs")
		f.waitFor(activationLimit, "the deletion", nodes, lacksService("tariffs"))
		f.waitFor(activationLimit, "the deletion of the permit", nodes, func(n *testNode) bool {
			return len(n.Snapshot().Ejections) == 0
		})
	})
}

// Guards against store calls that grow with the fleet: each start makes the same few calls, and nodes that are not
// watchers make none afterwards.
func TestStoreCallsDoNotGrowWithTheFleet(t *testing.T) {
	t.Parallel()
	const period = 15 * time.Minute
	steady := map[int]uint64{}
	for _, size := range []int{8, 32} {
		runInFleet(t, func(f *fleet) {
			f.options = slowRounds
			f.declare("tariffs", "/v1")
			nodes := f.startMany(size)
			f.waitFor(slowFactor*time.Minute, "the members", nodes, hasLiveMembers(size))
			time.Sleep(time.Minute)
			started := f.store.Counts()
			if writes := started[store.KindCompareAndSwap] - 1; writes != uint64(size) {
				t.Errorf("%d nodes started with %d writes", size, writes)
			}
			time.Sleep(period)
			steady[size] = total(f.store.Counts()) - total(started)
		})
	}
	t.Logf("calls in 15 min without changes: %v", steady)
	if steady[32] > steady[8]+steady[8]/10 {
		t.Errorf("calls in %v by fleet size: %v", period, steady)
	}
}

func total(counts map[string]uint64) uint64 {
	sum := uint64(0)
	for _, count := range counts {
		sum += count
	}
	return sum
}

// slowFactor slows down the rounds in tests that simulate hours, so that the tests take seconds.
const slowFactor = 10

func slowRounds(o *distribution.Options) {
	o.RoundInterval = slowFactor * time.Second
	o.HeartbeatInterval = slowFactor * time.Second
}

// Guards against a configuration that is lost, or a node that cannot start, while the store is down for hours.
func TestStoreOutageOfHours(t *testing.T) {
	t.Parallel()
	runInFleet(t, func(f *fleet) {
		f.options = slowRounds
		f.declare("ledger", "/v1")
		nodes := f.startMany(12)
		f.waitFor(time.Minute, "readiness", nodes, ready)
		// The number of calls below is that of a fleet whose nodes are registered, but for one.
		f.waitFor(time.Minute, "the registration", nodes, func(n *testNode) bool { return n.Status().Registered })
		f.storeDown(true)
		f.waitFor(slowFactor*time.Minute, "the members", nodes, hasLiveMembers(12))
		time.Sleep(3 * time.Hour)
		f.stop(nodes[5])
		nodes[5] = f.start(5, nodes[0].self.PeerAddress)
		f.waitFor(time.Minute, "readiness without the store", nodes, ready)
		f.waitFor(time.Minute, "the route without the store", nodes, hasRoute("ledger", "/v1"))
		time.Sleep(3 * time.Hour)
		f.waitFor(0, "the members without the store", nodes, hasLiveMembers(12))
		before := total(f.store.Counts())
		time.Sleep(time.Hour)
		calls := total(f.store.Counts()) - before
		// Eight watchers with three prefixes each, and one node that tries to register, at 4 s or more per call.
		if limit := uint64(25 * 3600 / 4); calls > limit {
			t.Errorf("%d calls in an hour to a store that is down, want at most %d", calls, limit)
		}
		f.storeDown(false)
		time.Sleep(time.Minute)
		f.declare("ledger", "/v2")
		f.waitFor(slowFactor*activationLimit, "the route after the outage", nodes, hasRoute("ledger", "/v2"))
		f.waitFor(slowFactor*time.Minute, "the registration after the outage", nodes, func(n *testNode) bool {
			return n.Status().Registered
		})
	})
}

// Guards against a new node that becomes ready with the outdated configuration of the first peer that it pulls from.
func TestNewNodeReadsAllPeersWithoutTheStore(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v1")
		partitionedStore := &faultyStore{Store: f.store}
		f.options = func(o *distribution.Options) { o.Store = partitionedStore }
		stale := f.start(0)
		f.options = func(*distribution.Options) {}
		var rest []*testNode
		for index := 1; index < 8; index++ {
			rest = append(rest, f.start(index))
		}
		all := append([]*testNode{stale}, rest...)
		f.waitFor(time.Minute, "readiness", all, ready)
		partitionedStore.unavailable.Store(true)
		f.partition(func(from, to model.Node) bool { return from.ID == stale.self.ID || to.ID == stale.self.ID })
		f.declare("ledger", "/v2")
		f.waitFor(time.Minute, "the new route", rest, hasRoute("ledger", "/v2"))
		f.storeDown(true)
		// The stale peer stays partitioned from the store and from all other nodes, but responds to the new node.
		f.partition(func(from, to model.Node) bool {
			return from.ID == stale.self.ID || to.ID == stale.self.ID && from.ID != "node-9"
		})
		added := f.start(9, stale.self.PeerAddress)
		f.waitFor(time.Minute, "readiness", []*testNode{added}, ready)
		f.waitFor(0, "the old route", []*testNode{stale}, hasRoute("ledger", "/v1"))
		f.waitFor(0, "the new route", []*testNode{added}, hasRoute("ledger", "/v2"))
	})
}

// Guards against nodes that start without the store and treat the empty configuration of their peers as complete.
func TestNoConfigurationIsNotReady(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.storeDown(true)
		nodes := []*testNode{f.start(0, nodeIdentity(1).PeerAddress), f.start(1, nodeIdentity(0).PeerAddress)}
		time.Sleep(time.Hour)
		for _, node := range nodes {
			if node.Ready() {
				t.Errorf("%s is ready without any configuration", node.self.ID)
			}
		}
		f.storeDown(false)
		f.declare("ledger", "/v1")
		f.waitFor(time.Minute, "readiness", nodes, ready)
	})
}

// Guards against deleted services that stay active where the changes were compacted before they were read. This
// includes nodes whose peers have only a list from after the deletion.
func TestDeletionsSurviveCompaction(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v1")
		f.declare("tariffs", "/v1")
		nodes := f.startMany(8)
		f.waitFor(time.Minute, "readiness", nodes, ready)
		f.waitFor(time.Minute, "the service", nodes, hasRoute("ledger", "/v1"))
		stale := nodes[0]
		f.partition(func(from, to model.Node) bool { return from.ID == stale.self.ID || to.ID == stale.self.ID })
		f.storeDown(true)
		time.Sleep(time.Minute)
		for _, node := range nodes[1:] {
			f.stop(node)
		}
		f.storeDown(false)
		f.remove("config/services/ledger")
		f.store.Compact()
		f.storeDown(true)
		time.Sleep(10 * time.Minute)
		f.storeDown(false)
		fresh := make([]*testNode, 0, 7)
		for i := 1; i < 8; i++ {
			fresh = append(fresh, f.start(i))
		}
		f.waitFor(time.Minute, "readiness", fresh, ready)
		f.storeDown(true)
		f.heal()
		f.waitFor(5*time.Minute, "the deletion", []*testNode{stale}, lacksService("ledger"))
		if !hasRoute("tariffs", "/v1")(stale) {
			t.Error("a service that was not deleted is missing")
		}
	})
}

// Guards against watchers that never catch up after the changes following their revision were compacted.
func TestWatchersListAfterCompaction(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		faulty := &faultyStore{Store: f.store}
		f.options = func(o *distribution.Options) { o.Store = faulty }
		f.declare("ledger", "/v1")
		f.declare("tariffs", "/v1")
		nodes := f.startMany(8)
		f.waitFor(time.Minute, "readiness", nodes, ready)
		f.waitFor(time.Minute, "the members", nodes, hasLiveMembers(8))
		faulty.unavailable.Store(true)
		time.Sleep(time.Minute)
		f.declare("ledger", "/v2")
		f.remove("config/services/tariffs")
		f.store.Compact()
		time.Sleep(time.Minute)
		faulty.unavailable.Store(false)
		f.waitFor(time.Minute, "the change", nodes, hasRoute("ledger", "/v2"))
		f.waitFor(time.Minute, "the deletion", nodes, lacksService("tariffs"))
	})
}

// Guards against a change that is delayed too long because all watches run on connections that became unresponsive.
func TestUnresponsiveStoreConnections(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		faulty := &faultyStore{Store: f.store}
		f.options = func(o *distribution.Options) { o.Store = faulty }
		f.declare("ledger", "/v1")
		nodes := f.startMany(16)
		f.waitFor(time.Minute, "the members", nodes, hasLiveMembers(16))
		for range 5 {
			time.Sleep(7 * time.Second)
			faulty.blackholes.Add(1)
			revision := f.declare("ledger", "/v2")
			f.waitFor(activationLimit, "the change", nodes, func(n *testNode) bool {
				return n.Snapshot().Config.Revisions["ledger"] == revision
			})
		}
	})
}

// Guards against watchers whose backoff after a store outage delays a change too long.
func TestChangeRightAfterOutage(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v1")
		nodes := f.startMany(16)
		f.waitFor(time.Minute, "the members", nodes, hasLiveMembers(16))
		f.storeDown(true)
		time.Sleep(5 * time.Minute)
		f.storeDown(false)
		f.declare("ledger", "/v2")
		f.waitFor(activationLimit, "the change", nodes, hasRoute("ledger", "/v2"))
	})
}

// Guards against regions that do not reconnect after a long partition, and against member records that are deleted
// because of it.
func TestRegionsReconnectAfterPartition(t *testing.T) {
	t.Parallel()
	runInFleet(t, func(f *fleet) {
		f.options = slowRounds
		f.declare("ledger", "/v1")
		nodes := f.startMany(16)
		f.waitFor(slowFactor*time.Minute, "the members", nodes, hasLiveMembers(16))
		f.partition(func(from, to model.Node) bool { return from.Region != to.Region })
		time.Sleep(time.Hour)
		f.waitFor(0, "the members of the own region alone", nodes, hasLiveMembers(8))
		f.heal()
		f.waitFor(slowFactor*2*time.Minute, "the other region", nodes, hasLiveMembers(16))
		if kvs, _, _ := f.store.List(t.Context(), distribution.MemberPrefix); len(kvs) != 16 {
			t.Errorf("%d member records after the partition, want 16", len(kvs))
		}
	})
}

// Guards against member records of dead nodes that stay in the store, and against stopped watchers that are not
// replaced.
func TestDeadNodesAreDeleted(t *testing.T) {
	t.Parallel()
	runInFleet(t, func(f *fleet) {
		f.options = slowRounds
		f.declare("ledger", "/v1")
		nodes := f.startMany(16)
		f.waitFor(slowFactor*time.Minute, "the members", nodes, hasLiveMembers(16))
		time.Sleep(time.Minute)
		var rest []*testNode
		watchers := 0
		for _, node := range nodes {
			if node.self.Domain == "domain-1" && node.Status().Watcher {
				watchers++
				f.stop(node)
				continue
			}
			rest = append(rest, node)
		}
		if watchers != 2 {
			t.Fatalf("%d watchers in a domain of four nodes, want 2", watchers)
		}
		f.waitFor(slowFactor*time.Minute, "the detection of the dead nodes", rest, hasLiveMembers(14))
		f.declare("ledger", "/v2")
		f.waitFor(slowFactor*activationLimit, "the route", rest, hasRoute("ledger", "/v2"))
		f.waitFor(time.Hour, "the deletion of the member records", rest[:1], func(*testNode) bool {
			kvs, _, _ := f.store.List(t.Context(), distribution.MemberPrefix)
			return len(kvs) == 14
		})
		time.Sleep(20 * time.Minute)
		f.waitFor(0, "the absence of the dead nodes", rest, func(n *testNode) bool {
			return len(n.Snapshot().Members.Members) == 14
		})
	})
}

// Guards against a domain that receives no changes while its dead watchers still count as live. The changes have to
// arrive from the other domains.
func TestBothWatchersLost(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v1")
		nodes := f.startMany(24)
		f.waitFor(time.Minute, "the members", nodes, hasLiveMembers(24))
		time.Sleep(time.Minute)
		var rest []*testNode
		for _, node := range nodes {
			if node.self.Domain == "domain-1" && node.Status().Watcher {
				f.stop(node)
				continue
			}
			rest = append(rest, node)
		}
		f.declare("ledger", "/v2")
		f.waitFor(activationLimit, "the route", rest, hasRoute("ledger", "/v2"))
		if len(rest) != 22 {
			t.Errorf("%d nodes are left, want 22", len(rest))
		}
	})
}

// Guards against a phase change of a target that the node's own snapshot, or its domain, receives only with the next
// heartbeat.
func TestChangeOfPhaseIsUrgent(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v1")
		nodes := f.startMany(16)
		f.waitFor(time.Minute, "the members", nodes, hasLiveMembers(16))
		for _, phase := range []model.Phase{model.PhaseReady, model.PhaseLeaving} {
			nodes[0].SetTargets([]model.Target{{ID: "target", Phase: phase}})
			hasPhase := func(n *testNode) bool {
				targets := n.Snapshot().Members.Members[nodes[0].self.ID].Record.Targets
				return len(targets) == 1 && targets[0].Phase == phase
			}
			f.waitFor(500*time.Millisecond, "the phase on the node itself", nodes[:1], hasPhase)
			f.waitFor(3*time.Second, "the phase in the domain", []*testNode{nodes[4], nodes[8], nodes[12]}, hasPhase)
		}
	})
}

// Guards against a partitioned node that does not report its isolation, or that discards its configuration.
func TestIsolatedNodeReports(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v1")
		nodes := f.startMany(4)
		f.waitFor(time.Minute, "readiness", nodes, ready)
		f.storeDown(true)
		f.partition(func(_, _ model.Node) bool { return true })
		time.Sleep(time.Hour)
		for _, node := range nodes {
			if !node.Status().Isolated || node.events.count(distribution.Isolated) != 1 {
				t.Errorf("%s did not report exactly once that it is isolated", node.self.ID)
			}
		}
		f.waitFor(0, "the route", nodes, hasRoute("ledger", "/v1"))
		f.heal()
		f.waitFor(time.Minute, "the reconnection", nodes, func(n *testNode) bool { return !n.Status().Isolated })
	})
}

// Guards against an invalid document that deactivates a service on any node, or that blocks the distribution of other
// documents.
func TestInvalidDocumentKeepsLastValidOne(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v1")
		nodes := f.startMany(8)
		f.waitFor(time.Minute, "readiness", nodes, ready)
		f.put("config/services/ledger", []byte("{"))
		f.declare("tariffs", "/v1")
		f.waitFor(activationLimit, "the later document", nodes, hasRoute("tariffs", "/v1"))
		f.waitFor(0, "the last valid document", nodes, hasRoute("ledger", "/v1"))
		f.waitFor(0, "the report", nodes, func(n *testNode) bool {
			return n.events.count(distribution.DocumentRejected) == 1
		})
	})
}

// Guards against a registration whose response is lost and that then writes a second record or blocks the start.
func TestRegistrationWithLostResponse(t *testing.T) {
	runInFleet(t, func(f *fleet) {
		f.declare("ledger", "/v1")
		faults := f.store.Faults()
		faults.LoseAnswers = 1
		f.store.SetFaults(faults)
		nodes := f.startMany(1)
		f.waitFor(time.Minute, "the registration", nodes, func(n *testNode) bool { return n.Status().Registered })
		if revision := f.store.Revision(); revision != 2 {
			t.Errorf("the store is at revision %d, want 2: one document and one member record", revision)
		}
	})
}
