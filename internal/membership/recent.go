package membership

import "time"

// mark is the end of the change log at a time.
type mark struct {
	at       time.Duration
	position uint64
}

// recent remembers where the changes of the last time begin in the change log.
type recent struct {
	marks []mark
	floor uint64
}

// MarkTime notes the end of the change log at the time now, once a round, and drops the marks from before window, except
// the last of them.
func (t *Table) MarkTime(now, window time.Duration) {
	marks := append(t.recent.marks, mark{at: now, position: t.log.position})
	old := 0
	for old+1 < len(marks) && marks[old+1].at <= now-window {
		old++
	}
	t.recent.marks = append(marks[:0], marks[old:]...)
}

// MarkSynced notes that the changes so far came from the first exchange of a new node, and are no news to others.
func (t *Table) MarkSynced() { t.recent.floor = t.log.position }

// RecentCursor returns a cursor from which Since gives the changes of the last time, at least of the window of MarkTime
// if the node has run that long. It is for a caller that takes part in the exchange and has the older ones from others.
func (t *Table) RecentCursor() uint64 {
	if len(t.recent.marks) == 0 {
		return t.recent.floor
	}
	return max(t.recent.floor, t.recent.marks[0].position)
}
