package node

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// memberWatch logs what changes among the other nodes from one snapshot to the next. It is used by one goroutine.
type memberWatch struct {
	self    model.Node
	log     *events.Log
	nodes   map[model.NodeID]watchedMember
	regions map[model.Region]watchedRegion
}

type watchedMember struct {
	incarnation model.Incarnation
	stopping    bool
	state       membership.State
	since       time.Duration
}

type watchedRegion struct {
	reachable bool
	since     time.Duration
}

func newMemberWatch(self model.Node, log *events.Log) *memberWatch {
	return &memberWatch{
		self: self, log: log,
		nodes: make(map[model.NodeID]watchedMember), regions: make(map[model.Region]watchedRegion),
	}
}

// note compares the members with the last ones.
func (w *memberWatch) note(now time.Duration, members *membership.Snapshot) {
	reachable := make(map[model.Region]bool)
	for id, member := range members.Members {
		record := member.Record
		alive := member.State == membership.Alive
		reachable[record.Region] = reachable[record.Region] || alive
		if id != w.self.ID {
			w.noteMember(now, member)
		}
	}
	for id := range w.nodes {
		if _, ok := members.Members[id]; !ok {
			delete(w.nodes, id)
		}
	}
	for region, ok := range reachable {
		w.noteRegion(now, region, ok)
	}
}

func (w *memberWatch) noteMember(now time.Duration, member membership.Member) {
	record := member.Record
	last, known := w.nodes[record.ID]
	next := watchedMember{
		incarnation: record.Incarnation, stopping: record.Stopping, state: member.State, since: last.since,
	}
	if !known || last.incarnation < record.Incarnation {
		w.log.Emit(events.NodeJoined, events.NodeField(record.ID), events.IncarnationField(record.Incarnation),
			events.DomainField(record.Domain))
		last = watchedMember{incarnation: record.Incarnation}
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

func (w *memberWatch) noteRegion(now time.Duration, region model.Region, reachable bool) {
	last, known := w.regions[region]
	if known && last.reachable == reachable || !known && reachable {
		w.regions[region] = watchedRegion{reachable: reachable, since: last.since}
		return
	}
	event := events.RegionReachable
	if !reachable {
		event = events.RegionUnreachable
	}
	w.log.Emit(event, events.RegionField(region), events.DurationField(now-last.since))
	w.regions[region] = watchedRegion{reachable: reachable, since: now}
}
