package membership

import (
	"sort"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Expire sets the member states from the heartbeat ages at the time now, evicts members that have been dead for
// Timing.EvictAfter, and returns the state changes, sorted by node ID.
//
// Members of a domain without a live member are kept until Timing.EvictDomainAfter: a partition looks the same, and the
// node needs their addresses when the partition heals.
func (t *Table) Expire(now time.Duration) []Transition {
	var transitions []Transition
	for id, e := range t.entries {
		e.expireDepartures(now)
		state := t.stateAt(e, now)
		if id == t.self || state == e.state {
			continue
		}
		transitions = append(transitions, Transition{Node: id, From: e.state, To: state})
		e.state = state
		t.generation++
	}
	sort.Slice(transitions, func(i, j int) bool { return transitions[i].Node < transitions[j].Node })
	t.evict(now)
	return transitions
}

func (t *Table) stateAt(e *entry, now time.Duration) State {
	switch age := now - e.heartbeatAt; {
	case age >= t.timing.DeadAfter:
		return Dead
	case age >= t.timing.SuspectAfter:
		return Suspected
	default:
		return Alive
	}
}

func (t *Table) evict(now time.Duration) {
	for id, evicted := range t.tombstones {
		if now >= evicted.expiresAt {
			delete(t.tombstones, id)
		}
	}
	for _, id := range t.evictable(now) {
		e := t.entries[id]
		t.tombstones[id] = tombstone{incarnation: e.record.Incarnation, heartbeat: e.heartbeat, expiresAt: now + t.timing.TombstoneTTL}
		t.log.remove(e)
		delete(t.entries, id)
		t.generation++
	}
}

// evictable returns the members that have been dead for long enough to be evicted.
func (t *Table) evictable(now time.Duration) []model.NodeID {
	var ids []model.NodeID
	var live map[model.FailureDomain]bool
	for id, e := range t.entries {
		if e.state != Dead || now-e.heartbeatAt < t.timing.EvictAfter {
			continue
		}
		if live == nil {
			live = t.liveDomains()
		}
		if live[e.record.Domain] || now-e.heartbeatAt >= t.timing.EvictDomainAfter {
			ids = append(ids, id)
		}
	}
	return ids
}

// WasEvicted reports whether the incarnation of the node, or a later one, was evicted within Timing.TombstoneTTL.
func (t *Table) WasEvicted(id model.NodeID, incarnation model.Incarnation) bool {
	evicted, ok := t.tombstones[id]
	return ok && incarnation <= evicted.incarnation
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
