package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/departure"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against peers that forget the departures that a node has acknowledged when they hear of its next process, which may not
// know them yet, in whatever order the records arrive.
func TestDeparturesOfAllIncarnationsAreKept(t *testing.T) {
	node := func(incarnation model.Incarnation, version uint64, departures ...model.Departure) Update {
		return Update{Record: &model.NodeRecord{
			Node: model.Node{ID: "n1", Domain: "d", PeerAddress: "10.0.0.1:1", Incarnation: incarnation}, Version: version, Departures: departures,
		}}
	}
	first, second := model.Departure{Target: "a", StartTimeMS: 1}, model.Departure{Target: "b", StartTimeMS: 2}
	updates := []Update{node(1, 2, first), node(2, 1), node(2, 2, second)}
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 0, 2}, {0, 2, 1}} {
		table := NewTable(&model.NodeRecord{Node: model.Node{ID: "self"}}, DefaultTiming())
		for _, i := range order {
			table.Merge(updates[i], 0)
		}
		if got := table.Departures("n1"); !slices.Equal(got, []model.Departure{first, second}) {
			t.Errorf("order %v: %v", order, got)
		}
		passedOn, _ := table.Since(0, 0, func(record *model.NodeRecord) bool { return record.ID == "self" })
		if len(passedOn) != 1 || len(passedOn[0].Record.Departures) != 2 {
			t.Errorf("order %v: passed on as %+v", order, passedOn)
		}
		table.Expire(departure.TTL + time.Second)
		if got := table.Departures("n1"); len(got) > 0 {
			t.Errorf("kept after their time: %v", got)
		}
	}
}

func nodeIn(domain string, index int) *model.NodeRecord {
	id := model.NodeID(fmt.Sprintf("%s-%d", domain, index))
	return &model.NodeRecord{Node: model.Node{ID: id, Domain: model.FailureDomain(domain), PeerAddress: string(id) + ":1", Incarnation: 1}}
}

// Guards against departures that only the nodes of one domain keep, and against waiting for more peers than the fleet has.
func TestKeepersAreInSeveralDomains(t *testing.T) {
	for _, c := range []struct {
		domains, perDomain int
		want               int
	}{{1, 1, 0}, {1, 2, 1}, {1, 5, 2}, {2, 1, 1}, {4, 6, 5}} {
		table := NewTable(nodeIn("d0", 0), DefaultTiming())
		for i := range c.domains * c.perDomain {
			table.Merge(Update{Record: nodeIn(fmt.Sprintf("d%d", i/c.perDomain), i%c.perDomain)}, 0)
		}
		keepers := table.View().Keepers()
		if len(keepers.Candidates) != c.want {
			t.Errorf("%d domains of %d nodes: %d candidates, want %d", c.domains, c.perDomain, len(keepers.Candidates), c.want)
		}
		enough, elsewhere := false, c.domains == 1
		for i, candidate := range keepers.Candidates {
			enough = keepers.Add(candidate.ID)
			member, _ := table.Get(candidate.ID)
			elsewhere = elsewhere || member.Record.Domain != "d0"
			if enough && (!elsewhere || i == 0 && c.want > 1) {
				t.Errorf("%d domains of %d nodes: %d keepers, elsewhere: %v", c.domains, c.perDomain, i+1, elsewhere)
			}
		}
		if c.want > 0 && !enough {
			t.Errorf("%d domains of %d nodes: all candidates are not enough", c.domains, c.perDomain)
		}
	}
}
