package membership

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Result is the outcome of Merge.
type Result uint8

const (
	// Ignored means that the table knew the update or a later one.
	Ignored Result = iota
	// Refreshed means that only the heartbeat or the configuration revision grew.
	Refreshed
	// Replaced means that the record is new to the table.
	Replaced
	// Incomplete means that a light update was about a record that the table does not hold.
	Incomplete
)

// Merge applies what a peer told about a member at the time now. What peers tell about the node itself is ignored.
func (t *Table) Merge(update Update, now time.Duration) Result {
	record := update.Record
	if record.ID == t.self || record.ID == "" {
		return Ignored
	}
	held := t.entries[record.ID]
	if held == nil {
		return t.mergeUnknown(update, now)
	}
	if record.Incarnation < held.record.Incarnation {
		return Ignored
	}
	if record.Incarnation > held.record.Incarnation {
		return t.mergeRestart(held, update, now)
	}
	return t.mergeSame(held, update, now)
}

func (t *Table) mergeUnknown(update Update, now time.Duration) Result {
	if buried, ok := t.graves[update.Record.ID]; ok && buried.covers(update.Record) {
		return Ignored
	}
	if update.Light {
		return Incomplete
	}
	delete(t.graves, update.Record.ID)
	t.insert(update.Record, now)
	return Replaced
}

func (t *Table) mergeRestart(held *entry, update Update, now time.Duration) Result {
	if update.Light {
		return Incomplete
	}
	held.heartbeat = update.Record.Heartbeat
	held.configRevision = update.Record.ConfigRevision
	t.replaceRecord(held, update.Record)
	t.hear(held, now)
	return Replaced
}

func (t *Table) mergeSame(held *entry, update Update, now time.Duration) Result {
	result := Ignored
	if t.refresh(held, update.Record, now) {
		result = Refreshed
	}
	if update.Record.Version <= held.record.Version {
		return result
	}
	if update.Light {
		return Incomplete
	}
	t.replaceRecord(held, update.Record)
	return Replaced
}

// refresh takes over the heartbeat and the configuration revision where they grew.
func (t *Table) refresh(held *entry, record *model.NodeRecord, now time.Duration) bool {
	grew := record.Heartbeat > held.heartbeat
	if !grew && record.ConfigRevision <= held.configRevision {
		return false
	}
	held.configRevision = max(held.configRevision, record.ConfigRevision)
	t.log.touch(held)
	if grew {
		held.heartbeat = record.Heartbeat
		t.hear(held, now)
	}
	return true
}

func (t *Table) replaceRecord(held *entry, record *model.NodeRecord) {
	if held.record.Node != record.Node || held.record.Stopping != record.Stopping {
		t.generation++
	}
	held.record = record
	t.log.touch(held)
	held.recordPosition = held.position
}

func (t *Table) hear(held *entry, now time.Duration) {
	held.heard = now
	if held.state != Alive {
		held.state = Alive
		t.generation++
	}
}
