package admission

import "time"

// deregistrationTTL is the time for which a deregistration is kept. Announcements delayed by a partition arrive within
// seconds of its end.
const deregistrationTTL = 10 * time.Minute

// deregistration records that a target has deregistered, to reject delayed announcements.
type deregistration struct {
	// startTimeMS is the start time of the process that left, in Unix milliseconds, or a later time if estimated is set.
	startTimeMS int64
	// estimated means that the start time is not known: startTimeMS is the time of the deregistration.
	estimated bool
	at        time.Duration
}

// covers reports whether a target with the given start time, 0 if it was not sent, is the one that deregistered. Without
// both start times it may be another one, which must not be excluded.
func (d deregistration) covers(startTimeMS int64) bool {
	if d.estimated && startTimeMS == 0 {
		return false
	}
	return startTimeMS <= d.startTimeMS
}

func (p *Point) removeExpiredDeregistrations() {
	for id, d := range p.deregistered {
		if p.now-d.at > deregistrationTTL {
			delete(p.deregistered, id)
		}
	}
}
