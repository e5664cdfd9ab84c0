package model

// Departure is a node's promise that a target gets no more requests, because the target has said that it leaves. It is kept
// beyond the process that gave it, so that a late announcement does not register the target again after a restart.
type Departure struct {
	Target TargetID
	// StartTimeMS is the start time of the process that leaves, in Unix milliseconds, or a later time if Estimated is set.
	StartTimeMS int64
	// Estimated means that the start time is not known: StartTimeMS is the time at which the target said that it leaves.
	Estimated bool
	// Sequence is the sequence number of the announcement that said so. Later ones of the same process are not covered, and
	// may say that the target is ready again. 0 means that all are covered.
	Sequence uint64
}

// Covers reports whether an announcement with the start time, 0 if it was not sent, and the sequence number belongs to the
// process that left and must not register it again. Without both start times the target may be another one, which must
// not be excluded.
func (d Departure) Covers(startTimeMS int64, sequence uint64) bool {
	if d.Estimated && startTimeMS == 0 {
		return false
	}
	if startTimeMS != d.StartTimeMS {
		return startTimeMS < d.StartTimeMS
	}
	return d.Sequence == 0 || sequence <= d.Sequence
}

// Includes reports whether d covers everything that other, a departure of the same target, covers.
func (d Departure) Includes(other Departure) bool {
	if d.StartTimeMS != other.StartTimeMS {
		return d.StartTimeMS > other.StartTimeMS
	}
	if d.Estimated && !other.Estimated {
		return false
	}
	return d.Sequence == 0 || other.Sequence != 0 && other.Sequence <= d.Sequence
}
