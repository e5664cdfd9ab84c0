package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/sardinereach/sardinereach/internal/model"
)

// fleetTables returns one table for each of size nodes, all with full knowledge. Domains take turns, three domains make
// a region.
func fleetTables(size, domains int) []*Table {
	records := make([]*model.NodeRecord, size)
	for i := range records {
		record := selfRecord(fmt.Sprint("n", i))
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

// Guards against nodes that disagree about the watchers, and against a loss that moves other duties.
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

// Guards against dead members that nobody or more than one watcher deletes, also for a domain that is gone.
func TestReaperIsUnique(t *testing.T) {
	tables := fleetTables(30, 3)
	for _, domain := range []model.FailureDomain{"d1", "gone"} {
		for dead := range 20 {
			reapers := 0
			for _, table := range tables {
				if table.View().Reaps(model.NodeID(fmt.Sprint("dead", dead)), domain) {
					reapers++
				}
			}
			if reapers != 1 {
				t.Errorf("%d nodes delete node %d of domain %s", reapers, dead, domain)
			}
		}
	}
}

// Guards against partners that are the node itself or doubled, against nodes that nobody pulls from, and against
// traffic between regions that grows with the number of nodes.
func TestPartners(t *testing.T) {
	const rounds = 60
	remote := map[int]int{}
	for _, size := range []int{36, 144} {
		tables := fleetTables(size, 6)
		pulled := map[model.NodeID]bool{}
		for _, table := range tables {
			view := table.View()
			for round := range uint64(rounds) {
				partners := view.Partners(round, 1)
				if len(partners) != PartnersPerRound {
					t.Fatalf("%d partners in a fleet of %d", len(partners), size)
				}
				for i, partner := range partners {
					member, _ := table.Get(partner.ID)
					if partner.ID == table.self || slices.Contains(partners[:i], partner) {
						t.Fatalf("partners of %s: %v", table.self, partners)
					}
					if member.Record.Region != table.Self().Region {
						remote[size]++
					}
					if round == 0 && member.Record.Domain == table.Self().Domain {
						pulled[partner.ID] = true
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
