package membership

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/departure"
	"github.com/sardinereach/sardinereach/internal/model"
)

// entry is one member. It is an element of the table's change log.
type entry struct {
	// record has the identity, version and targets. Its heartbeat and configuration revision are from the time when the
	// version arrived; the next two fields have the current values.
	record         *model.NodeRecord
	heartbeat      uint64
	configRevision int64
	// heartbeatAt is the time when the heartbeat last grew, on this node's clock.
	heartbeatAt time.Duration
	state       State
	// position is the change log position of the last change, recordPosition that of the last change of record.
	position       uint64
	recordPosition uint64
	older, newer   *entry
	// departures are those that any incarnation of the node has acknowledged, nil if there are none. The record of a new
	// incarnation may not have them yet.
	departures *departure.Set
}

// addDepartures adds the departures of a record of the node.
func (e *entry) addDepartures(record *model.NodeRecord, now time.Duration) {
	if len(record.Departures) > 0 && e.departures == nil {
		e.departures = departure.NewSet()
	}
	for _, d := range record.Departures {
		e.departures.Add(now, d)
	}
}

func (e *entry) expireDepartures(now time.Duration) {
	if e.departures == nil {
		return
	}
	if e.departures.Expire(now); e.departures.Len() == 0 {
		e.departures = nil
	}
}

// departureList returns the departures in order of their targets, nil if there are none.
func (e *entry) departureList() []model.Departure {
	if e.departures == nil {
		return nil
	}
	return e.departures.List()
}

// current returns the record with the current heartbeat and configuration revision and all departures.
func (e *entry) current() *model.NodeRecord {
	if e.record.Heartbeat == e.heartbeat && e.record.ConfigRevision == e.configRevision && e.departures == nil {
		return e.record
	}
	current := *e.record
	current.Departures = e.departureList()
	current.Heartbeat = e.heartbeat
	current.ConfigRevision = e.configRevision
	return &current
}

// update returns the update for a peer that has all changes up to cursor: a full one if the record changed after cursor.
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
