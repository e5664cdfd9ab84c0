package distribution

import (
	"context"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/model"
)

// directPuller passes each call directly to the distributor at the address.
type directPuller map[string]*Distributor

func (p directPuller) Pull(
	_ context.Context, address string, request *peerv1.PullRequest,
) (*peerv1.PullResponse, error) {
	return p[address].HandlePull(request), nil
}

func (p directPuller) Chunks(
	_ context.Context, address string, request *peerv1.ChunksRequest,
) (*peerv1.ChunksResponse, error) {
	return p[address].HandleChunks(request), nil
}

func newDistributor(t testing.TB, id string, incarnation model.Incarnation, network directPuller) *Distributor {
	d, err := New(Options{
		Self: model.Node{
			ID: model.NodeID(id), Incarnation: incarnation, Region: "r", Domain: "d", PeerAddress: id,
		},
		Store: fakestore.New(fakestore.Options{}), Puller: network, MaxAuxiliaryTombstones: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	network[id] = d
	return d
}

func mustPull(t *testing.T, d *Distributor, address string) {
	t.Helper()
	if _, err := d.pullOnce(t.Context(), address); err != nil {
		t.Fatal(err)
	}
}

func permit(name string, revision int64) config.Document {
	return config.Document{Key: EjectionPrefix + name, Revision: revision}
}

func (d *Distributor) permits() int { return len(d.Snapshot().Ejections) }

// Guards against permits that stay active on nodes that are not watchers after the permits were deleted, or that such a
// node receives again from a stale peer.
func TestPermitDeletionsReachOtherNodes(t *testing.T) {
	network := directPuller{}
	watcher, other, stale := newDistributor(t, "w", 1, network), newDistributor(t, "o", 2, network),
		newDistributor(t, "b", 3, network)
	watcher.applyList(EjectionPrefix, []config.Document{permit("x", 1), permit("y", 2), permit("z", 3)}, 4, delivery{})
	mustPull(t, other, "w")
	mustPull(t, stale, "w")
	if other.permits() != 3 {
		t.Fatalf("%d permits, want 3", other.permits())
	}
	watcher.applyList(EjectionPrefix, []config.Document{permit("z", 3)}, 9, delivery{})
	mustPull(t, other, "w")
	if other.permits() != 1 || other.tables.ejections.table.Complete() != 9 {
		t.Errorf("%d permits, complete up to %d", other.permits(), other.tables.ejections.table.Complete())
	}
	mustPull(t, other, "b")
	if other.permits() != 1 {
		t.Errorf("%d permits after a pull from a stale peer", other.permits())
	}
	fresh := newDistributor(t, "f", 4, network)
	mustPull(t, fresh, "b")
	mustPull(t, fresh, "o")
	if fresh.permits() != 1 {
		t.Errorf("%d permits at a new node, want 1", fresh.permits())
	}
}

// Guards against a cursor from an earlier incarnation of a peer that skips records of its current incarnation.
func TestCursorOfEarlierIncarnation(t *testing.T) {
	network := directPuller{}
	caller := newDistributor(t, "c", 1, network)
	peer := newDistributor(t, "p", 2, network)
	mustPull(t, caller, "p")
	for range 50 {
		peer.tables.members.ReservePosition()
	}
	mustPull(t, caller, "p")
	restarted := newDistributor(t, "p", 3, network)
	restarted.SetTargets([]model.Target{{ID: "t"}})
	restarted.beginRound()
	mustPull(t, caller, "p")
	member, _ := caller.tables.members.Get("p")
	if member.Record.Incarnation != 3 || len(member.Record.Targets) != 1 {
		t.Errorf("record of the restarted peer: %+v", member.Record)
	}
}

// Guards against a new gossip peer that sends its complete table to a node that already participates in the gossip, and
// against a record that such a node then never receives.
func TestNewGossipPeerSendsRecentChanges(t *testing.T) {
	network := directPuller{}
	caller, first, second := newDistributor(t, "c", 1, network), newDistributor(t, "f", 2, network),
		newDistributor(t, "s", 3, network)
	now := time.Duration(0)
	for _, d := range network {
		d.options.Now = func() time.Duration { return now }
	}
	for index := range 100 {
		first.tables.members.Merge(benchUpdate(index, 1, false), 0)
	}
	mustPull(t, caller, "f")
	mustPull(t, second, "f")
	second.tables.members.Merge(benchUpdate(100, 1, false), 0)
	for range 3 {
		now += second.options.RecentWindow / 3
		second.beginRound()
		mustPull(t, caller, "f")
	}
	second.tables.members.Merge(benchUpdate(0, 2, false), now)
	response := second.HandlePull(caller.pullRequest("s"))
	if len(response.Nodes) > 5 {
		t.Errorf("a new gossip peer sends %d records, of which one changed", len(response.Nodes))
	}
	mustPull(t, caller, "s")
	second.tables.members.Merge(benchUpdate(100, 2, true), now)
	mustPull(t, caller, "s")
	mustPull(t, caller, "s")
	if _, ok := caller.tables.members.Get("node-000100"); !ok {
		t.Error("a heartbeat of an unknown node did not cause its record to be pulled")
	}
}

// Guards against a pull that sends the own record and all others again although nothing changed.
func TestPullWithoutChangesIsSmall(t *testing.T) {
	network := directPuller{}
	caller := newDistributor(t, "c", 1, network)
	peer := newDistributor(t, "p", 2, network)
	peer.SetTargets(make([]model.Target, 30))
	peer.beginRound()
	mustPull(t, caller, "p")
	response := peer.HandlePull(caller.pullRequest("p"))
	if len(response.Nodes) != 0 || len(response.Documents) != 0 {
		t.Errorf("response without changes: %v", response)
	}
	if request := caller.pullRequest("p"); request.Self.PeerAddress != "" {
		t.Errorf("the peer has received the own record and is sent it again: %v", request.Self)
	}
}

// Guards against load figures that exceed their bandwidth limit in a large fleet.
func TestLoadIntervalGrowsWithTheFleet(t *testing.T) {
	d := newDistributor(t, "n", 1, directPuller{})
	d.SetTargets(make([]model.Target, targetsPerNode))
	if interval := d.loadInterval(); interval != d.options.LoadInterval {
		t.Errorf("interval of one node: %v", interval)
	}
	for index := range 100 {
		d.tables.members.Merge(benchUpdate(index, 1, false), 0)
	}
	cost := 101 * (recordBytes + targetsPerNode*recordTargetBytes) / d.options.LoadBytesPerSecond
	if interval := d.loadInterval(); interval < time.Duration(cost)*time.Second {
		t.Errorf("interval of 101 nodes: %v, want at least %d s", interval, cost)
	}
}

// Guards against load figures that are sent in every round, and against phase changes that are delayed.
func TestVersionsOfOwnRecord(t *testing.T) {
	own := newOwnRecord(model.Node{ID: "n"})
	own.setTargets([]model.Target{{ID: "t", Phase: model.PhaseReady}})
	if next := own.advance(0, 10, 100, 0); next == nil || next.Version != 2 {
		t.Fatalf("a new target: %+v", next)
	}
	own.setTargets([]model.Target{{ID: "t", Phase: model.PhaseReady, InFlight: 1}})
	if next := own.advance(1, 10, 100, 0); next != nil {
		t.Errorf("load change within the interval: %+v", next)
	}
	if next := own.advance(10, 10, 100, 0); next == nil || next.Version != 2 || next.Heartbeat != 3 {
		t.Errorf("heartbeat: %+v", next)
	}
	own.setTargets([]model.Target{{ID: "t", Phase: model.PhaseLeaving, InFlight: 1}})
	if next := own.advance(11, 10, 100, 0); next == nil || next.Version != 3 {
		t.Errorf("change of phase: %+v", next)
	}
}
