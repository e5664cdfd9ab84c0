package distribution

import (
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/departure"
	"github.com/sardinereach/sardinereach/internal/model"
)

// ownRecord is the node's own record and the changes that are not part of it yet.
type ownRecord struct {
	record  *model.NodeRecord
	targets []model.Target
	// urgent is set by changes that have to reach the peers before the next regular round, changed by any change.
	urgent, changed bool
	stopping        bool
	// departures are those that this incarnation or an earlier one has acknowledged.
	departures  *departure.Set
	heartbeatAt time.Duration
	versionAt   time.Duration
}

func newOwnRecord(self model.Node) ownRecord {
	return ownRecord{record: &model.NodeRecord{Node: self, Version: 1, Heartbeat: 1}, departures: departure.NewSet()}
}

func (o *ownRecord) setTargets(targets []model.Target) {
	if slices.Equal(o.targets, targets) {
		return
	}
	o.urgent = o.urgent || !slices.EqualFunc(o.record.Targets, targets, equalExceptLoad)
	o.changed = true
	o.targets = targets
}

func (o *ownRecord) setStopping() {
	o.stopping = true
	o.urgent, o.changed = true, true
}

// addDeparture adds a departure at the time now. It reports whether the record did not cover it yet.
func (o *ownRecord) addDeparture(now time.Duration, d model.Departure) bool {
	if !o.departures.Add(now, d) {
		return false
	}
	o.urgent, o.changed = true, true
	return true
}

// equalExceptLoad reports whether two states of a target differ in load figures only.
func equalExceptLoad(a, b model.Target) bool {
	b.InFlight, b.Queued, b.BreakerHalfOpen = a.InFlight, a.Queued, a.BreakerHalfOpen
	b.Successes, b.Failures, b.FirstByte, b.Report = a.Successes, a.Failures, a.FirstByte, a.Report
	return a == b
}

// advance returns the record that is due at the time now, nil if the current one stays valid.
func (o *ownRecord) advance(now, heartbeatInterval, loadInterval time.Duration, configRevision int64) *model.NodeRecord {
	o.departures.Expire(now)
	newVersion := o.urgent || o.changed && now-o.versionAt >= loadInterval
	if !newVersion && now-o.heartbeatAt < heartbeatInterval {
		return nil
	}
	next := *o.record
	next.Heartbeat++
	next.ConfigRevision = configRevision
	o.heartbeatAt = now
	if newVersion {
		next.Version++
		next.Targets = o.targets
		next.Stopping = o.stopping
		next.Departures = o.departures.List()
		o.versionAt = now
		o.urgent, o.changed = false, false
	}
	o.record = &next
	return o.record
}
