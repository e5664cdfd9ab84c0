package admission

import "time"

// deregistrationTTL is the time for which a deregistration is kept. Announcements delayed by a partition arrive within
// seconds of its end.
const deregistrationTTL = 10 * time.Minute

// deregistration records that a target has deregistered, to reject delayed announcements.
type deregistration struct {
	// startTimeMS is the start time of the process that left, in Unix milliseconds.
	startTimeMS int64
	at          time.Duration
}

func (p *Point) removeExpiredDeregistrations() {
	for id, d := range p.deregistered {
		if p.now-d.at > deregistrationTTL {
			delete(p.deregistered, id)
		}
	}
}
