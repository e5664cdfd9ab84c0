package admission

import "time"

// departureFor is the time for which a departure is remembered. Announcements that were held up by a partition come within
// seconds of its end.
const departureFor = 10 * time.Minute

// departure is the last word of a target.
type departure struct {
	// born is the time of the start that has ended, in milliseconds since 1970.
	born int64
	at   time.Duration
}

func (p *Point) forgetDepartures() {
	for id, d := range p.departed {
		if p.now-d.at > departureFor {
			delete(p.departed, id)
		}
	}
}
