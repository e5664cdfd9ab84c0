package membership

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// entry is one member, linked into the change log of its table.
type entry struct {
	// record has the identity, version and targets. Its heartbeat and configuration revision are those of the moment at
	// which the version arrived; the present ones follow.
	record         *model.NodeRecord
	heartbeat      uint64
	configRevision int64
	// heard is when the heartbeat last grew, on the clock of the own node.
	heard time.Duration
	state State
	// position is the place of the last change in the log, recordPosition that of the last change of record.
	position       uint64
	recordPosition uint64
	older, newer   *entry
}

// current returns the record with its present heartbeat and configuration revision.
func (e *entry) current() *model.NodeRecord {
	if e.record.Heartbeat == e.heartbeat && e.record.ConfigRevision == e.configRevision {
		return e.record
	}
	current := *e.record
	current.Heartbeat = e.heartbeat
	current.ConfigRevision = e.configRevision
	return &current
}

// update returns what a peer that has everything up to cursor needs.
func (e *entry) update(cursor uint64) Update {
	if e.recordPosition > cursor {
		return Update{Record: e.current()}
	}
	light := &model.NodeRecord{
		Node:           model.Node{ID: e.record.ID, Incarnation: e.record.Incarnation},
		Version:        e.record.Version,
		Heartbeat:      e.heartbeat,
		ConfigRevision: e.configRevision,
	}
	return Update{Record: light, Light: true}
}

func (e *entry) member() Member {
	return Member{Record: e.record, State: e.state, Heartbeat: e.heartbeat, ConfigRevision: e.configRevision}
}
