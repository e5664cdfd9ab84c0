package membership

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

func memberIn(id string, domain model.FailureDomain) Update {
	record := testRecord(id)
	record.Domain = domain
	return Update{Record: record}
}

func heartbeatUpdate(id string, heartbeat uint64) Update {
	return Update{Light: true, Record: &model.NodeRecord{
		Node: model.Node{ID: model.NodeID(id), Incarnation: 1}, Version: 1, Heartbeat: heartbeat,
	}}
}

// Guards against wrong timeouts of failure detection, and a member that stays suspected or dead after a heartbeat.
func TestFailureDetection(t *testing.T) {
	timing := DefaultTiming()
	table := NewTable(testRecord("self"), timing)
	table.Merge(memberIn("a", "d"), 0)
	for _, test := range []struct {
		at   time.Duration
		want State
	}{{timing.SuspectAfter - 1, Alive}, {timing.SuspectAfter, Suspected}, {timing.DeadAfter - 1, Suspected}, {timing.DeadAfter, Dead}} {
		table.Expire(test.at)
		if member, _ := table.Get("a"); member.State != test.want {
			t.Errorf("after %v: %v, want %v", test.at, member.State, test.want)
		}
	}
	if updates, _ := table.Since(0, 0, nil); len(updates) != 1 {
		t.Errorf("%d updates, want only the node itself: a dead member must not propagate", len(updates))
	}
	table.Merge(heartbeatUpdate("a", 2), timing.DeadAfter+1)
	if member, _ := table.Get("a"); member.State != Alive {
		t.Errorf("after a heartbeat: %v", member.State)
	}
	if transitions := table.Expire(timing.DeadAfter + 2); len(transitions) != 0 {
		t.Errorf("transitions after a heartbeat: %v", transitions)
	}
}

// Guards against evicted members that are reintroduced by a peer that still has them, and against early eviction of the
// members of a partitioned domain.
func TestEviction(t *testing.T) {
	timing := DefaultTiming()
	table := NewTable(testRecord("self"), timing)
	table.Merge(memberIn("a", "d"), 0)
	table.Merge(memberIn("far", "other"), 0)
	table.Expire(timing.EvictAfter)
	if _, ok := table.Get("a"); ok || !table.WasEvicted("a", 1) {
		t.Error("the dead member was not evicted")
	}
	if _, ok := table.Get("far"); !ok {
		t.Error("the member of a domain without live members was evicted")
	}
	if result := table.Merge(memberIn("a", "d"), timing.EvictAfter); result != Ignored {
		t.Errorf("the record of the evicted member: result %d", result)
	}
	if result := table.Merge(heartbeatUpdate("a", 2), timing.EvictAfter); result != Incomplete {
		t.Errorf("a light update of an evicted member: result %d", result)
	}
	alive := memberIn("a", "d")
	alive.Record.Heartbeat = 2
	if result := table.Merge(alive, timing.EvictAfter); result != Replaced {
		t.Errorf("a record with a later heartbeat: result %d", result)
	}
	table.Expire(timing.EvictDomainAfter)
	if _, ok := table.Get("far"); ok {
		t.Error("the member of a domain without live members was never evicted")
	}
}

// Guards against updates from peers that replace the node's own record.
func TestOwnRecordIsNotMerged(t *testing.T) {
	table := NewTable(testRecord("self"), DefaultTiming())
	update := memberIn("self", "elsewhere")
	update.Record.Incarnation = 9
	if result := table.Merge(update, 0); result != Ignored || table.Self().Domain != "d" {
		t.Errorf("result %d, own record %+v", result, table.Self())
	}
}

// Guards against heartbeats that exceed their bandwidth budget in a large fleet, and timeouts that do not scale with the
// heartbeat interval.
func TestIntervalAndTimingScale(t *testing.T) {
	if interval := Interval(10, 100, 2000, time.Second); interval != time.Second {
		t.Errorf("interval of 10 members: %v", interval)
	}
	interval := Interval(200, 100, 2000, time.Second)
	if interval != 10*time.Second {
		t.Errorf("interval of 200 members: %v", interval)
	}
	scaled := DefaultTiming().Scaled(interval)
	if scaled.SuspectAfter < missedUntilSuspected*interval || scaled.DeadAfter < missedUntilDead*interval || scaled.EvictAfter < 2*scaled.DeadAfter {
		t.Errorf("scaled timing: %+v", scaled)
	}
}

// Guards against a light update that advances the version although the record of that version never arrived.
func TestLightUpdateOfUnknownVersion(t *testing.T) {
	table := NewTable(testRecord("self"), DefaultTiming())
	full := memberIn("a", "d")
	full.Record.Targets = []model.Target{{ID: "target"}}
	table.Merge(full, 0)
	newer := heartbeatUpdate("a", 2)
	newer.Record.Version = 2
	if result := table.Merge(newer, 0); result != Incomplete {
		t.Errorf("result %d", result)
	}
	restarted := heartbeatUpdate("a", 1)
	restarted.Record.Incarnation = 2
	if result := table.Merge(restarted, 0); result != Incomplete {
		t.Errorf("result %d for another incarnation", result)
	}
	if member, _ := table.Get("a"); len(member.Record.Targets) != 1 || member.Heartbeat != 2 {
		t.Errorf("member %+v", member)
	}
}

// Guards against records of the initial sync that are sent as recent changes, and recent changes that are left out.
func TestRecentCursor(t *testing.T) {
	table := NewTable(testRecord("self"), DefaultTiming())
	table.RecordPosition(0, time.Minute)
	table.Merge(memberIn("first", "d"), 0)
	table.SetSyncedPosition()
	for second := range 90 {
		now := time.Duration(second) * time.Second
		if second == 20 || second == 60 {
			table.Merge(memberIn(now.String(), "d"), now)
		}
		table.RecordPosition(now, time.Minute)
		if second == 40 {
			if updates, _ := table.Since(table.RecentCursor(), 0, nil); len(updates) != 1 || updates[0].Record.ID != "20s" {
				t.Errorf("changes after 40 s: %v", updates)
			}
		}
	}
	if updates, _ := table.Since(table.RecentCursor(), 0, nil); len(updates) != 1 || updates[0].Record.ID != "1m0s" {
		t.Errorf("changes of the last minute: %v", updates)
	}
	if len(table.history.samples) > 62 {
		t.Errorf("%d samples are kept", len(table.history.samples))
	}
}

// Guards against a truncated response whose cursor skips the remaining updates.
func TestTruncatedResponses(t *testing.T) {
	table := NewTable(testRecord("self"), DefaultTiming())
	for _, id := range []string{"a", "b", "c"} {
		table.Merge(memberIn(id, "d"), 0)
	}
	var got []model.NodeID
	for cursor := uint64(0); cursor < table.Position(); {
		var updates []Update
		updates, cursor = table.Since(cursor, 1, nil)
		for _, update := range updates {
			got = append(got, update.Record.ID)
		}
	}
	if len(got) != 4 || got[0] != "self" || got[3] != "c" {
		t.Errorf("records of the parts: %v", got)
	}
}
