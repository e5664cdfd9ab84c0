package membership

import (
	"sort"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Expire updates the states by the heartbeat ages at the time now, drops members that have been dead for long, and
// returns the changes in the order of node IDs.
//
// Members of a domain that looks dead as a whole are kept: a partition looks the same, and their addresses are needed
// when it heals.
func (t *Table) Expire(now time.Duration) []Transition {
	var transitions []Transition
	for id, e := range t.entries {
		state := t.stateAt(e, now)
		if id == t.self || state == e.state {
			continue
		}
		transitions = append(transitions, Transition{Node: id, From: e.state, To: state})
		e.state = state
		t.generation++
	}
	sort.Slice(transitions, func(i, j int) bool { return transitions[i].Node < transitions[j].Node })
	t.forget(now)
	return transitions
}

func (t *Table) stateAt(e *entry, now time.Duration) State {
	switch age := now - e.heard; {
	case age >= t.timing.Dead:
		return Dead
	case age >= t.timing.Suspect:
		return Suspected
	default:
		return Alive
	}
}

func (t *Table) forget(now time.Duration) {
	for id, buried := range t.graves {
		if now >= buried.until {
			delete(t.graves, id)
		}
	}
	for _, id := range t.forgettable(now) {
		e := t.entries[id]
		t.graves[id] = grave{incarnation: e.record.Incarnation, heartbeat: e.heartbeat, until: now + t.timing.Remember}
		t.log.remove(e)
		delete(t.entries, id)
		t.generation++
	}
}

// forgettable returns the members that have been dead for long enough to be dropped.
func (t *Table) forgettable(now time.Duration) []model.NodeID {
	var ids []model.NodeID
	var live map[model.FailureDomain]bool
	for id, e := range t.entries {
		if e.state != Dead || now-e.heard < t.timing.Forget {
			continue
		}
		if live == nil {
			live = t.liveDomains()
		}
		if live[e.record.Domain] || now-e.heard >= t.timing.ForgetDomain {
			ids = append(ids, id)
		}
	}
	return ids
}

// Buried reports whether the incarnation of the node, or a later one, was dropped as dead lately.
func (t *Table) Buried(id model.NodeID, incarnation model.Incarnation) bool {
	buried, ok := t.graves[id]
	return ok && incarnation <= buried.incarnation
}

func (t *Table) liveDomains() map[model.FailureDomain]bool {
	live := map[model.FailureDomain]bool{}
	for _, e := range t.entries {
		if e.state == Alive {
			live[e.record.Domain] = true
		}
	}
	return live
}
