package membership

import "time"

// positionSample is the end position of the change log at a time.
type positionSample struct {
	at       time.Duration
	position uint64
}

// positionHistory records the end of the change log over time, to find where recent changes begin.
type positionHistory struct {
	samples []positionSample
	// syncedPosition is the end of the change log after the initial sync of a new node.
	syncedPosition uint64
}

// RecordPosition records the end of the change log at the time now. It is called once a round. Samples older than window
// are removed, except the newest of them.
func (t *Table) RecordPosition(now, window time.Duration) {
	samples := append(t.history.samples, positionSample{at: now, position: t.log.position})
	expired := 0
	for expired+1 < len(samples) && samples[expired+1].at <= now-window {
		expired++
	}
	t.history.samples = append(samples[:0], samples[expired:]...)
}

// SetSyncedPosition marks the changes so far as part of the initial sync of a new node. Peers have them already.
func (t *Table) SetSyncedPosition() { t.history.syncedPosition = t.log.position }

// RecentCursor returns a cursor from which Since returns the recent changes: at least those in the window of
// RecordPosition, if the node has run that long. It serves peers that also gossip with other nodes and have the older
// changes from them.
func (t *Table) RecentCursor() uint64 {
	if len(t.history.samples) == 0 {
		return t.history.syncedPosition
	}
	return max(t.history.syncedPosition, t.history.samples[0].position)
}
