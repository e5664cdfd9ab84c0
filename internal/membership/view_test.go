package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sardinereach/sardinereach/internal/model"
)

// fleetTables returns one table for each of size nodes, with the records of all nodes. Nodes are assigned to the domains
// in turn; three domains make a region.
func fleetTables(size, domains int) []*Table {
	records := make([]*model.NodeRecord, size)
	for i := range records {
		record := testRecord(fmt.Sprint("n", i))
		record.Domain = model.FailureDomain(fmt.Sprint("d", i%domains))
		record.Region = model.Region(fmt.Sprint("r", i%domains/3))
		records[i] = record
	}
	tables := make([]*Table, size)
	for i := range tables {
		tables[i] = NewTable(records[i], DefaultTiming())
		for _, record := range records {
			tables[i].Merge(Update{Record: record}, 0)
		}
	}
	return tables
}

// Guards against nodes that elect different watchers, and against the loss of a watcher that replaces other watchers.
func TestWatcherElection(t *testing.T) {
	tables := fleetTables(30, 3)
	watchers := tables[0].View().Watchers("d1")
	for _, table := range tables {
		if got := table.View().Watchers("d1"); !slices.Equal(got, watchers) {
			t.Fatalf("%s elects %v, another node %v", table.Self().ID, got, watchers)
		}
	}
	count := 0
	for _, table := range tables {
		if table.View().IsWatcher() {
			count++
		}
	}
	if count != 3*WatchersPerDomain {
		t.Errorf("%d watchers in three domains", count)
	}
	stopping := *tables[0].entries[watchers[0]].record
	stopping.Version, stopping.Stopping = 2, true
	tables[0].Merge(Update{Record: &stopping}, 0)
	after := tables[0].View().Watchers("d1")
	if slices.Contains(after, watchers[0]) || after[0] != watchers[1] {
		t.Errorf("watchers %v before and %v after one is stopping", watchers, after)
	}
}

// Guards against dead members that no watcher or more than one watcher deletes, also in a domain without live members.
func TestDeletingNodeIsUnique(t *testing.T) {
	tables := fleetTables(30, 3)
	for _, domain := range []model.FailureDomain{"d1", "gone"} {
		for dead := range 20 {
			deleting := 0
			for _, table := range tables {
				if table.View().ShouldDelete(model.NodeID(fmt.Sprint("dead", dead)), domain) {
					deleting++
				}
			}
			if deleting != 1 {
				t.Errorf("%d nodes delete node %d of domain %s", deleting, dead, domain)
			}
		}
	}
}

// Guards against gossip peers that are the node itself or duplicates, against nodes that no node pulls from, and against
// traffic between regions that grows with the number of nodes.
func TestGossipPeers(t *testing.T) {
	const rounds = 60
	remote := map[int]int{}
	for _, size := range []int{36, 144} {
		tables := fleetTables(size, 6)
		pulled := map[model.NodeID]bool{}
		for _, table := range tables {
			view := table.View()
			for round := range uint64(rounds) {
				peers := view.GossipPeers(round, 1)
				if len(peers) != PeersPerRound {
					t.Fatalf("%d gossip peers in a fleet of %d", len(peers), size)
				}
				for i, peer := range peers {
					member, _ := table.Get(peer.ID)
					if peer.ID == table.self || slices.Contains(peers[:i], peer) {
						t.Fatalf("gossip peers of %s: %v", table.self, peers)
					}
					if member.Record.Region != table.Self().Region {
						remote[size]++
					}
					if round == 0 && member.Record.Domain == table.Self().Domain {
						pulled[peer.ID] = true
					}
				}
			}
		}
		if len(pulled) != size {
			t.Errorf("%d of %d nodes are pulled from within their domain in one round", len(pulled), size)
		}
	}
	if remote[144] != remote[36] || remote[36] == 0 {
		t.Errorf("pulls between regions by fleet size: %v", remote)
	}
}
