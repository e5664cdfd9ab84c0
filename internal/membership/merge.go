package membership

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Result is the outcome of Merge.
type Result uint8

const (
	// Ignored means that the table has the update or a later one already.
	Ignored Result = iota
	// Refreshed means that only the heartbeat or the configuration revision grew.
	Refreshed
	// Replaced means that the record is new to the table.
	Replaced
	// Incomplete means that the update was light and the table lacks the record of its version.
	Incomplete
)

// Merge applies a peer's update of a member at the time now. Updates of the node itself are ignored. Departures are merged
// from any full record of a member, whatever its incarnation and version.
func (t *Table) Merge(update Update, now time.Duration) Result {
	record := update.Record
	if record.ID == t.self || record.ID == "" {
		return Ignored
	}
	result := t.mergeRecord(update, now)
	if e := t.entries[record.ID]; e != nil && !update.Light {
		e.addDepartures(record, now)
	}
	return result
}

func (t *Table) mergeRecord(update Update, now time.Duration) Result {
	record := update.Record
	e := t.entries[record.ID]
	if e == nil {
		return t.mergeNew(update, now)
	}
	if record.Incarnation < e.record.Incarnation {
		return Ignored
	}
	if record.Incarnation > e.record.Incarnation {
		return t.mergeRestart(e, update, now)
	}
	return t.mergeSameIncarnation(e, update, now)
}

func (t *Table) mergeNew(update Update, now time.Duration) Result {
	if evicted, ok := t.tombstones[update.Record.ID]; ok && evicted.covers(update.Record) {
		return Ignored
	}
	if update.Light {
		return Incomplete
	}
	delete(t.tombstones, update.Record.ID)
	t.insert(update.Record, now)
	return Replaced
}

func (t *Table) mergeRestart(e *entry, update Update, now time.Duration) Result {
	if update.Light {
		return Incomplete
	}
	e.heartbeat = update.Record.Heartbeat
	e.configRevision = update.Record.ConfigRevision
	t.replaceRecord(e, update.Record)
	t.recordHeartbeat(e, now)
	return Replaced
}

func (t *Table) mergeSameIncarnation(e *entry, update Update, now time.Duration) Result {
	result := Ignored
	if t.refresh(e, update.Record, now) {
		result = Refreshed
	}
	if update.Record.Version <= e.record.Version {
		return result
	}
	if update.Light {
		return Incomplete
	}
	t.replaceRecord(e, update.Record)
	return Replaced
}

// refresh updates the heartbeat and the configuration revision if they grew, and reports whether either did.
func (t *Table) refresh(e *entry, record *model.NodeRecord, now time.Duration) bool {
	grew := record.Heartbeat > e.heartbeat
	if !grew && record.ConfigRevision <= e.configRevision {
		return false
	}
	e.configRevision = max(e.configRevision, record.ConfigRevision)
	t.log.touch(e)
	if grew {
		e.heartbeat = record.Heartbeat
		t.recordHeartbeat(e, now)
	}
	return true
}

func (t *Table) replaceRecord(e *entry, record *model.NodeRecord) {
	if e.record.Node != record.Node || e.record.Stopping != record.Stopping {
		t.generation++
	}
	e.record = record
	t.log.touch(e)
	e.recordPosition = e.position
}

func (t *Table) recordHeartbeat(e *entry, now time.Duration) {
	e.heartbeatAt = now
	if e.state != Alive {
		e.state = Alive
		t.generation++
	}
}
