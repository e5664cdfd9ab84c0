// Package membership is one node's table of the fleet's nodes. Records merge by incarnation, version and heartbeat, so
// that the order of arrival does not matter. Failure detection goes by the age of the last heartbeat on the own clock.
// Watchers and pull partners are chosen by rendezvous hash, without any agreement between nodes.
//
// The package is pure: the time is passed in, as the node's own monotonic clock, and the caller serializes the calls of
// one table.
package membership

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Table holds the newest record of each known node.
type Table struct {
	self    model.NodeID
	timing  Timing
	entries map[model.NodeID]*entry
	graves  map[model.NodeID]grave
	log     changelog
	recent  recent
	// generation grows when a member appears, goes or changes its state, address or place.
	generation uint64
}

// NewTable returns a table that holds only the node itself.
func NewTable(self *model.NodeRecord, timing Timing) *Table {
	t := &Table{
		self:    self.ID,
		timing:  timing,
		entries: map[model.NodeID]*entry{},
		graves:  map[model.NodeID]grave{},
	}
	t.insert(self, 0)
	return t
}

// SetTiming replaces the limits of failure detection.
func (t *Table) SetTiming(timing Timing) { t.timing = timing }

// Len returns the number of members, dead ones included.
func (t *Table) Len() int { return len(t.entries) }

// Generation grows whenever elections and the choice of partners may change.
func (t *Table) Generation() uint64 { return t.generation }

// Position returns the end of the change log.
func (t *Table) Position() uint64 { return t.log.position }

// Reserve takes the next position of the change log for a change that is kept elsewhere.
func (t *Table) Reserve() uint64 { return t.log.next() }

// Self returns the node's own record. It is replaced by SetSelf, never changed.
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

// Get returns the member, false if the node is not known.
func (t *Table) Get(id model.NodeID) (Member, bool) {
	e := t.entries[id]
	if e == nil {
		return Member{}, false
	}
	return e.member(), true
}

// Whole returns the node's own record as a full update.
func (t *Table) Whole() Update { return Update{Record: t.Self()} }

// Since returns the changes after cursor, oldest first and each member once, and the cursor to continue from. At most
// limit members are returned, 0 for no limit. Dead members are left out, so that they do not spread any more.
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

// Snapshot returns the present members.
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
		heard:          now,
	}
	t.entries[record.ID] = e
	t.log.touch(e)
	e.recordPosition = e.position
	t.generation++
}
