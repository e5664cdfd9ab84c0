package distribution

import (
	"context"
	"time"

	"github.com/sardinereach/sardinereach/internal/config"
)

// publisher notes what changed since the last snapshot.
type publisher struct {
	documents bool
	members   bool
	// generation is the one of the member table in the last snapshot.
	generation uint64
	// at is the time of the last snapshot with new members.
	at time.Duration
}

const (
	// memberPause is the least time between two snapshots with new members; one takes about a millisecond at 5,300 nodes.
	memberPause = 200 * time.Millisecond
	// heartbeatPause is the same for snapshots with new heartbeats and configuration revisions alone.
	heartbeatPause = 10 * time.Second
)

// runPublish publishes what had to wait for memberPause.
func (d *Distributor) runPublish(ctx context.Context) {
	for {
		select {
		case <-d.unpublished:
		case <-ctx.Done():
			return
		}
		if !sleep(ctx, memberPause) {
			return
		}
		d.publish()
	}
}

// publishNow makes a new snapshot of everything without waiting for the pauses.
func (d *Distributor) publishNow() {
	d.mu.Lock()
	d.publisher.documents = true
	d.publisher.members = true
	d.publisher.at = -heartbeatPause
	d.mu.Unlock()
	d.publish()
}

// publish makes a new snapshot if something changed.
func (d *Distributor) publish() {
	d.publishing.Lock()
	defer d.publishing.Unlock()
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
		d.publisher.documents, d.publisher.members = true, true
	}
	next := *previous
	membersChanged := d.membersChanged()
	if !membersChanged && !d.publisher.documents {
		return nil
	}
	if membersChanged {
		next.Members = d.tables.members.Snapshot()
		d.publisher.generation = d.tables.members.Generation()
		d.publisher.at = d.options.Now()
		d.publisher.members = false
	}
	if d.publisher.documents {
		next.Config = d.tables.config.Snapshot()
		next.Ejections = documentsByName(d.tables.ejections.table, EjectionPrefix)
		next.Quarantine = documentsByName(d.tables.quarantine.table, QuarantinePrefix)
		d.publisher.documents = false
	}
	return &next
}

// membersChanged reports whether a new snapshot of the members is due.
func (d *Distributor) membersChanged() bool {
	if d.snapshot.Load() == nil {
		return true
	}
	elapsed := d.options.Now() - d.publisher.at
	if !d.publisher.members && d.publisher.generation == d.tables.members.Generation() {
		return elapsed >= heartbeatPause
	}
	if elapsed < memberPause {
		signal(d.unpublished)
		return false
	}
	return true
}
