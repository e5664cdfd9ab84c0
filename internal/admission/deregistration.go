package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// IsDeregistered reports whether the target has said that it leaves, after it sent the announcement. A delayed announcement
// must not register the target again.
func (p *Point) IsDeregistered(a *Announcement) bool {
	d, ok := p.departures.Get(a.Target)
	return ok && d.Covers(a.StartTimeMS, a.Sequence)
}

// Deregister handles a target that leaves without a further announcement. startTimeMS is the target's start time, 0 if it
// was not sent. receivedMS is the time at which the target said so, in Unix milliseconds. A target that has restarted since
// then stays registered. Deregister reports whether this process has heard of the target; the announcements of one that it has
// not heard of may still be on their way.
func (p *Point) Deregister(now time.Duration, id model.TargetID, startTimeMS, receivedMS int64) bool {
	p.advance(now)
	t := p.targets[id]
	_, repeated := p.departures.Get(id)
	d := model.Departure{Target: id, StartTimeMS: startTimeMS}
	switch {
	case startTimeMS != 0:
	case t != nil:
		d.StartTimeMS = t.StartTimeMS
	default:
		d.StartTimeMS, d.Estimated = receivedMS, true
	}
	if d.StartTimeMS != 0 {
		p.departures.Add(p.now, d)
	}
	if t != nil && d.StartTimeMS >= t.StartTimeMS {
		t.Phase = model.PhaseLeaving
		p.updateQueue(t)
	}
	return t != nil || repeated
}

// Departure returns the departure of the target, and false if it has none or none that later announcements could be compared
// with.
func (p *Point) Departure(id model.TargetID) (model.Departure, bool) { return p.departures.Get(id) }

// RestoreDepartures adds the departures that an earlier process of the node has acknowledged. Targets that an announcement
// from before its departure has registered get no more requests.
func (p *Point) RestoreDepartures(now time.Duration, departures []model.Departure) {
	p.advance(now)
	for _, d := range departures {
		p.departures.Add(p.now, d)
		if t := p.targets[d.Target]; t != nil && p.IsDeregistered(&t.Announcement) {
			t.Phase = model.PhaseLeaving
			p.updateQueue(t)
		}
	}
}

// Hold sets whether targets are treated as starting although they have announced that they are ready: until the departures that
// an earlier process has acknowledged are restored, an announcement may be a late one of a target that has left.
func (p *Point) Hold(held bool) {
	if p.held == held {
		return
	}
	p.held = held
	for _, t := range p.sortedTargets() {
		p.updateQueue(t)
	}
}

// recordDeparture records the departure that an announcement contains, if the target was not leaving before. Without a start
// time and a sequence number, announcements from before it cannot be told from later ones.
func (p *Point) recordDeparture(previous model.Phase, a *Announcement) {
	if !a.Phase.IsLeaving() || previous.IsLeaving() || a.StartTimeMS == 0 || a.Sequence == 0 {
		return
	}
	p.departures.Add(p.now, model.Departure{Target: a.Target, StartTimeMS: a.StartTimeMS, Sequence: a.Sequence})
}
