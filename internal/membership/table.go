// Package membership is one node's table of the fleet's nodes. Records merge by incarnation, version and heartbeat, so
// that the order of arrival does not matter. Failure detection uses the age of the last heartbeat on the node's own
// clock. Watchers and gossip peers are chosen by rendezvous hash, without coordination between nodes.
//
// The package does no I/O and reads no clock: callers pass in the time of the node's monotonic clock. Calls on one table
// must be serialized by the caller.
package membership

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Table holds the newest record of each node.
type Table struct {
	self       model.NodeID
	timing     Timing
	entries    map[model.NodeID]*entry
	tombstones map[model.NodeID]tombstone
	log        changelog
	history    positionHistory
	// generation grows when a member is added or evicted, or changes its state, its Node or its Stopping flag.
	generation uint64
}

// NewTable returns a table that holds only the node itself.
func NewTable(self *model.NodeRecord, timing Timing) *Table {
	t := &Table{
		self:       self.ID,
		timing:     timing,
		entries:    map[model.NodeID]*entry{},
		tombstones: map[model.NodeID]tombstone{},
	}
	t.insert(self, 0)
	return t
}

// SetTiming replaces the timeouts of failure detection.
func (t *Table) SetTiming(timing Timing) { t.timing = timing }

// Len returns the number of members, dead ones included.
func (t *Table) Len() int { return len(t.entries) }

// Generation returns a number that grows whenever elections and the choice of gossip peers may change.
func (t *Table) Generation() uint64 { return t.generation }

// Position returns the position of the newest change in the change log.
func (t *Table) Position() uint64 { return t.log.position }

// ReservePosition allocates the next position of the change log for a change that is stored outside the table.
func (t *Table) ReservePosition() uint64 { return t.log.nextPosition() }

// Self returns the node's own record. SetSelf replaces it; the record itself is never modified.
func (t *Table) Self() *model.NodeRecord { return t.entries[t.self].record }

// SetSelf replaces the node's own record.
func (t *Table) SetSelf(record *model.NodeRecord) {
	own := t.entries[t.self]
	changed := record.Version != own.record.Version
	own.record = record
	own.heartbeat = record.Heartbeat
	own.configRevision = record.ConfigRevision
	t.log.touch(own)
	if changed {
		own.recordPosition = own.position
	}
}

// Get returns the member, and false if the table has no such node.
func (t *Table) Get(id model.NodeID) (Member, bool) {
	e := t.entries[id]
	if e == nil {
		return Member{}, false
	}
	return e.member(), true
}

// Departures returns the departures that any incarnation of the node has acknowledged, in order of their targets.
func (t *Table) Departures(id model.NodeID) []model.Departure {
	e := t.entries[id]
	if e == nil {
		return nil
	}
	return e.departureList()
}

// FullUpdate returns the node's own record as a full update.
func (t *Table) FullUpdate() Update { return Update{Record: t.Self()} }

// Since returns the changes after cursor, oldest first and each member once, and the cursor to continue from. At most
// limit members are returned, 0 for no limit. Dead members and those for which skip returns true are left out. Dead
// members must not propagate any further.
func (t *Table) Since(cursor uint64, limit int, skip func(*model.NodeRecord) bool) ([]Update, uint64) {
	if cursor >= t.log.position {
		return nil, max(cursor, t.log.position)
	}
	var updates []Update
	for e := t.log.firstAfter(cursor); e != nil; e = e.newer {
		if e.state == Dead || skip != nil && skip(e.record) {
			continue
		}
		updates = append(updates, e.update(cursor))
		if limit > 0 && len(updates) == limit {
			return updates, e.position
		}
	}
	return updates, t.log.position
}

// Snapshot returns the current members.
func (t *Table) Snapshot() *Snapshot {
	members := make(map[model.NodeID]Member, len(t.entries))
	for id, e := range t.entries {
		members[id] = e.member()
	}
	return &Snapshot{Self: t.self, Members: members}
}

func (t *Table) insert(record *model.NodeRecord, now time.Duration) {
	e := &entry{
		record:         record,
		heartbeat:      record.Heartbeat,
		configRevision: record.ConfigRevision,
		heartbeatAt:    now,
	}
	t.entries[record.ID] = e
	t.log.touch(e)
	e.recordPosition = e.position
	t.generation++
}
