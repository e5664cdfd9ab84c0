package membership

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

func memberIn(id string, domain model.FailureDomain) Update {
	record := selfRecord(id)
	record.Domain = domain
	return Update{Record: record}
}

func beat(id string, heartbeat uint64) Update {
	return Update{Light: true, Record: &model.NodeRecord{
		Node: model.Node{ID: model.NodeID(id), Incarnation: 1}, Version: 1, Heartbeat: heartbeat,
	}}
}

// Guards against wrong limits of failure detection, and a member that stays suspected after a heartbeat.
func TestFailureDetection(t *testing.T) {
	timing := DefaultTiming()
	table := NewTable(selfRecord("self"), timing)
	table.Merge(memberIn("a", "d"), 0)
	for _, test := range []struct {
		at   time.Duration
		want State
	}{{timing.Suspect - 1, Alive}, {timing.Suspect, Suspected}, {timing.Dead - 1, Suspected}, {timing.Dead, Dead}} {
		table.Expire(test.at)
		if member, _ := table.Get("a"); member.State != test.want {
			t.Errorf("after %v: %v, want %v", test.at, member.State, test.want)
		}
	}
	if updates, _ := table.Since(0, 0, nil); len(updates) != 1 {
		t.Errorf("%d updates, want the own one: a dead member must not spread", len(updates))
	}
	table.Merge(beat("a", 2), timing.Dead+1)
	if member, _ := table.Get("a"); member.State != Alive {
		t.Errorf("after a heartbeat: %v", member.State)
	}
	if transitions := table.Expire(timing.Dead + 2); len(transitions) != 0 {
		t.Errorf("transitions after a heartbeat: %v", transitions)
	}
}

// Guards against dropped members that come back through a peer that still holds them, and against members of a
// partitioned domain that are dropped.
func TestForget(t *testing.T) {
	timing := DefaultTiming()
	table := NewTable(selfRecord("self"), timing)
	table.Merge(memberIn("a", "d"), 0)
	table.Merge(memberIn("far", "other"), 0)
	table.Expire(timing.Forget)
	if _, ok := table.Get("a"); ok || !table.Buried("a", 1) {
		t.Error("the dead member was not dropped")
	}
	if _, ok := table.Get("far"); !ok {
		t.Error("the member of a domain without live members was dropped")
	}
	if result := table.Merge(memberIn("a", "d"), timing.Forget); result != Ignored {
		t.Errorf("the same sign of life again: result %d", result)
	}
	if result := table.Merge(beat("a", 2), timing.Forget); result != Incomplete {
		t.Errorf("a heartbeat of a dropped member: result %d", result)
	}
	alive := memberIn("a", "d")
	alive.Record.Heartbeat = 2
	if result := table.Merge(alive, timing.Forget); result != Replaced {
		t.Errorf("a later sign of life: result %d", result)
	}
	table.Expire(timing.ForgetDomain)
	if _, ok := table.Get("far"); ok {
		t.Error("the member of a lost domain was never dropped")
	}
}

// Guards against rumours about the node itself that replace its own record.
func TestOwnRecordIsNotMerged(t *testing.T) {
	table := NewTable(selfRecord("self"), DefaultTiming())
	rumour := memberIn("self", "elsewhere")
	rumour.Record.Incarnation = 9
	if result := table.Merge(rumour, 0); result != Ignored || table.Self().Domain != "d" {
		t.Errorf("result %d, own record %+v", result, table.Self())
	}
}

// Guards against heartbeats that cost more than their share in a large fleet, and limits that do not follow.
func TestIntervalAndTimingScale(t *testing.T) {
	if interval := Interval(10, 100, 2000, time.Second); interval != time.Second {
		t.Errorf("interval of 10 members: %v", interval)
	}
	interval := Interval(200, 100, 2000, time.Second)
	if interval != 10*time.Second {
		t.Errorf("interval of 200 members: %v", interval)
	}
	scaled := DefaultTiming().Scaled(interval)
	if scaled.Suspect < missedSuspect*interval || scaled.Dead < missedDead*interval || scaled.Forget < 2*scaled.Dead {
		t.Errorf("limits: %+v", scaled)
	}
}

// Guards against a light update that is taken for the record of a version that never arrived.
func TestLightUpdateOfUnknownVersion(t *testing.T) {
	table := NewTable(selfRecord("self"), DefaultTiming())
	full := memberIn("a", "d")
	full.Record.Targets = []model.Target{{ID: "target"}}
	table.Merge(full, 0)
	newer := beat("a", 2)
	newer.Record.Version = 2
	if result := table.Merge(newer, 0); result != Incomplete {
		t.Errorf("result %d", result)
	}
	restarted := beat("a", 1)
	restarted.Record.Incarnation = 2
	if result := table.Merge(restarted, 0); result != Incomplete {
		t.Errorf("result %d for another incarnation", result)
	}
	if member, _ := table.Get("a"); len(member.Record.Targets) != 1 || member.Heartbeat != 2 {
		t.Errorf("member %+v", member)
	}
}

// Guards against records of a first exchange that count as news, and changes of the window that are left out.
func TestRecentCursor(t *testing.T) {
	table := NewTable(selfRecord("self"), DefaultTiming())
	table.MarkTime(0, time.Minute)
	table.Merge(memberIn("first", "d"), 0)
	table.MarkSynced()
	for second := range 90 {
		now := time.Duration(second) * time.Second
		if second == 20 || second == 60 {
			table.Merge(memberIn(now.String(), "d"), now)
		}
		table.MarkTime(now, time.Minute)
		if second == 40 {
			if updates, _ := table.Since(table.RecentCursor(), 0, nil); len(updates) != 1 || updates[0].Record.ID != "20s" {
				t.Errorf("changes after 40 s: %v", updates)
			}
		}
	}
	if updates, _ := table.Since(table.RecentCursor(), 0, nil); len(updates) != 1 || updates[0].Record.ID != "1m0s" {
		t.Errorf("changes of the last minute: %v", updates)
	}
	if len(table.recent.marks) > 62 {
		t.Errorf("%d marks are kept", len(table.recent.marks))
	}
}

// Guards against a cut answer whose cursor skips the rest.
func TestCutAnswers(t *testing.T) {
	table := NewTable(selfRecord("self"), DefaultTiming())
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
