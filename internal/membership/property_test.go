package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/model"
)

func testRecord(id string) *model.NodeRecord {
	return &model.NodeRecord{
		Node:    model.Node{ID: model.NodeID(id), Incarnation: 1, Region: "r", Domain: "d", PeerAddress: id + ":1"},
		Version: 1, Heartbeat: 1,
	}
}

// drawUpdate draws full updates of three nodes. Incarnation and version determine the targets, as at a real node.
func drawUpdate(t *rapid.T) Update {
	record := testRecord(fmt.Sprint("n", rapid.IntRange(0, 2).Draw(t, "node")))
	record.Incarnation = model.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))
	record.Version = rapid.Uint64Range(1, 3).Draw(t, "version")
	record.Heartbeat = rapid.Uint64Range(1, 5).Draw(t, "heartbeat")
	record.ConfigRevision = rapid.Int64Range(0, 5).Draw(t, "config revision")
	record.Targets = []model.Target{{Slots: int(record.Incarnation)*10 + int(record.Version)}}
	return Update{Record: record}
}

// tableContents formats the members of a table without their positions in the change log.
func tableContents(table *Table) string {
	text := ""
	for _, id := range []model.NodeID{"n0", "n1", "n2"} {
		if member, ok := table.Get(id); ok {
			r := member.Record
			text += fmt.Sprintln(id, r.Incarnation, r.Version, r.Targets, member.Heartbeat, member.ConfigRevision)
		}
	}
	return text
}

// Guards against a merge whose result depends on the order of updates or on duplicates.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOf(rapid.Custom(drawUpdate)).Draw(t, "updates")
		one, other := NewTable(testRecord("self"), DefaultTiming()), NewTable(testRecord("self"), DefaultTiming())
		for _, update := range updates {
			one.Merge(update, 0)
		}
		for _, update := range rapid.Permutation(updates).Draw(t, "order") {
			other.Merge(update, 0)
		}
		if tableContents(one) != tableContents(other) {
			t.Fatalf("the result depends on the order of updates:\n%s%s", tableContents(one), tableContents(other))
		}
		position := other.Position()
		for _, update := range updates {
			if result := other.Merge(update, 0); result != Ignored {
				t.Fatalf("a duplicate update had the result %d", result)
			}
		}
		if other.Position() != position {
			t.Fatal("a duplicate update was added to the change log")
		}
	})
}

// gossip is a set of nodes that pull from each other with cursors.
type gossip struct {
	now     time.Duration
	tables  []*Table
	cursors map[[2]int]uint64
}

func newGossip(size int) *gossip {
	g := &gossip{cursors: map[[2]int]uint64{}}
	for index := range size {
		g.tables = append(g.tables, NewTable(testRecord(fmt.Sprint("n", index)), DefaultTiming()))
	}
	return g
}

// pull merges the updates of one pull response and returns their number.
func (g *gossip) pull(t *rapid.T, to, from, limit int) int {
	cursor := g.cursors[[2]int{to, from}]
	updates, next := g.tables[from].Since(cursor, limit, nil)
	complete := true
	seen := map[model.NodeID]bool{}
	for _, update := range updates {
		if seen[update.Record.ID] {
			t.Fatalf("%s is twice in one response", update.Record.ID)
		}
		seen[update.Record.ID] = true
		complete = g.tables[to].Merge(update, g.now) != Incomplete && complete
	}
	if !complete {
		next = 0
	}
	g.cursors[[2]int{to, from}] = next
	return len(updates)
}

func (g *gossip) change(index int, newVersion bool) {
	table := g.tables[index]
	next := *table.Self()
	next.Heartbeat++
	if newVersion {
		next.Version++
		next.Targets = []model.Target{{Slots: int(next.Version)}}
	}
	table.SetSelf(&next)
}

func (g *gossip) expire() {
	for _, table := range g.tables {
		table.Expire(g.now)
	}
}

// Guards against changes that cursors skip, light updates that leave an old record in place, evicted members that peers
// reintroduce, and responses with updates that the caller has already.
func TestGossipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 4
		g := newGossip(size)
		node := func(t *rapid.T, label string) int { return rapid.IntRange(0, size-1).Draw(t, label) }
		t.Repeat(map[string]func(*rapid.T){
			"beat":   func(t *rapid.T) { g.change(node(t, "node"), false) },
			"change": func(t *rapid.T) { g.change(node(t, "node"), true) },
			"pull": func(t *rapid.T) {
				g.pull(t, node(t, "to"), node(t, "from"), rapid.IntRange(0, 2).Draw(t, "limit"))
			},
			"wait": func(t *rapid.T) {
				g.now += rapid.SampledFrom([]time.Duration{time.Second, time.Minute, 11 * time.Minute}).Draw(t, "time")
				g.expire()
			},
		})
		for round := range 3 * size {
			for index := range size {
				g.change(index, false)
				g.pull(t, index, (index+1+round%(size-1))%size, 0)
			}
		}
		g.now += time.Second
		g.expire()
		for index, table := range g.tables {
			for other, peer := range g.tables {
				member, ok := table.Get(peer.Self().ID)
				if !ok || member.State != Alive || member.Record.Version != peer.Self().Version {
					t.Fatalf("node %d has for node %d: %+v, %v", index, other, member, ok)
				}
			}
			if again, _ := table.Since(table.Position(), 0, nil); len(again) != 0 {
				t.Fatalf("node %d sends %d updates again", index, len(again))
			}
		}
	})
}
