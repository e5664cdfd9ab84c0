package distribution

import (
	"context"
	"time"

	"github.com/sardinereach/sardinereach/internal/config"
)

// publisher tracks what changed since the last snapshot.
type publisher struct {
	documentsChanged bool
	membersChanged   bool
	// membersGeneration is the generation of the member table in the last snapshot.
	membersGeneration uint64
	// membersPublishedAt is the time of the last snapshot with a new member list.
	membersPublishedAt time.Duration
}

const (
	// memberSnapshotInterval is the minimum time between two snapshots with a new member list. Building one takes about
	// a millisecond at 5,300 nodes.
	memberSnapshotInterval = 200 * time.Millisecond
	// heartbeatSnapshotInterval is the same limit if only heartbeats and configuration revisions of members changed.
	heartbeatSnapshotInterval = 10 * time.Second
)

// runPublish publishes member changes that had to wait for memberSnapshotInterval.
func (d *Distributor) runPublish(ctx context.Context) {
	for {
		select {
		case <-d.publishPending:
		case <-ctx.Done():
			return
		}
		if !sleep(ctx, memberSnapshotInterval) {
			return
		}
		d.publish()
	}
}

// publishNow publishes a complete new snapshot without waiting for the minimum intervals.
func (d *Distributor) publishNow() {
	d.mu.Lock()
	d.publisher.documentsChanged = true
	d.publisher.membersChanged = true
	d.publisher.membersPublishedAt = -heartbeatSnapshotInterval
	d.mu.Unlock()
	d.publish()
}

// publish publishes a new snapshot if something changed and is due.
func (d *Distributor) publish() {
	d.publishMu.Lock()
	defer d.publishMu.Unlock()
	snapshot := d.nextSnapshot()
	if snapshot == nil {
		return
	}
	d.snapshot.Store(snapshot)
	d.options.OnSnapshot(snapshot)
}

func (d *Distributor) nextSnapshot() *Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.snapshot.Load()
	if previous == nil {
		previous = &Snapshot{
			Ejections:  map[string]config.Document{},
			Quarantine: map[string]config.Document{},
		}
		d.publisher.documentsChanged, d.publisher.membersChanged = true, true
	}
	next := *previous
	membersDue := d.membersSnapshotDue()
	if !membersDue && !d.publisher.documentsChanged {
		return nil
	}
	if membersDue {
		next.Members = d.tables.members.Snapshot()
		d.publisher.membersGeneration = d.tables.members.Generation()
		d.publisher.membersPublishedAt = d.options.Now()
		d.publisher.membersChanged = false
	}
	if d.publisher.documentsChanged {
		next.Config = d.tables.config.Snapshot()
		next.Ejections = documentsByName(d.tables.ejections.table, EjectionPrefix)
		next.Quarantine = documentsByName(d.tables.quarantine.table, QuarantinePrefix)
		next.StoreEra = d.era
		d.publisher.documentsChanged = false
	}
	return &next
}

// membersSnapshotDue reports whether a new snapshot of the members is due. If a changed member list has to wait,
// it schedules a publish.
func (d *Distributor) membersSnapshotDue() bool {
	if d.snapshot.Load() == nil {
		return true
	}
	elapsed := d.options.Now() - d.publisher.membersPublishedAt
	if !d.publisher.membersChanged && d.publisher.membersGeneration == d.tables.members.Generation() {
		return elapsed >= heartbeatSnapshotInterval
	}
	if elapsed < memberSnapshotInterval {
		signal(d.publishPending)
		return false
	}
	return true
}
