package node

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// memberLogger logs the changes of other nodes between consecutive snapshots. It is not safe for concurrent use.
type memberLogger struct {
	self    model.Node
	log     *events.Log
	nodes   map[model.NodeID]loggedMember
	regions map[model.Region]loggedRegion
}

type loggedMember struct {
	incarnation model.Incarnation
	stopping    bool
	state       membership.State
	since       time.Duration
}

type loggedRegion struct {
	reachable bool
	since     time.Duration
}

func newMemberLogger(self model.Node, log *events.Log) *memberLogger {
	return &memberLogger{
		self: self, log: log,
		nodes: make(map[model.NodeID]loggedMember), regions: make(map[model.Region]loggedRegion),
	}
}

// logChanges compares the members with those of the previous call and logs the differences.
func (w *memberLogger) logChanges(now time.Duration, members *membership.Snapshot) {
	reachable := make(map[model.Region]bool)
	for id, member := range members.Members {
		record := member.Record
		alive := member.State == membership.Alive
		reachable[record.Region] = reachable[record.Region] || alive
		if id != w.self.ID {
			w.logMember(now, member)
		}
	}
	for id := range w.nodes {
		if _, ok := members.Members[id]; !ok {
			delete(w.nodes, id)
		}
	}
	for region, ok := range reachable {
		w.logRegion(now, region, ok)
	}
}

func (w *memberLogger) logMember(now time.Duration, member membership.Member) {
	record := member.Record
	last, found := w.nodes[record.ID]
	next := loggedMember{
		incarnation: record.Incarnation, stopping: record.Stopping, state: member.State, since: last.since,
	}
	if !found || last.incarnation < record.Incarnation {
		w.log.Emit(events.NodeJoined, events.NodeField(record.ID), events.IncarnationField(record.Incarnation),
			events.DomainField(record.Domain))
		last = loggedMember{incarnation: record.Incarnation}
	}
	if record.Stopping && !last.stopping {
		w.log.Emit(events.NodeLeft, events.NodeField(record.ID), events.IncarnationField(record.Incarnation))
	}
	if (member.State == membership.Alive) != (last.state == membership.Alive) {
		event := events.NodeHeard
		if member.State != membership.Alive {
			event = events.NodeSilent
		}
		w.log.Emit(event, events.NodeField(record.ID), events.DurationField(now-last.since))
		next.since = now
	}
	w.nodes[record.ID] = next
}

func (w *memberLogger) logRegion(now time.Duration, region model.Region, reachable bool) {
	last, found := w.regions[region]
	if found && last.reachable == reachable || !found && reachable {
		w.regions[region] = loggedRegion{reachable: reachable, since: last.since}
		return
	}
	event := events.RegionReachable
	if !reachable {
		event = events.RegionUnreachable
	}
	w.log.Emit(event, events.RegionField(region), events.DurationField(now-last.since))
	w.regions[region] = loggedRegion{reachable: reachable, since: now}
}
