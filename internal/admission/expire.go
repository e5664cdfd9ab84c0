package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// sweepInterval is the time between two removals of expired watermarks and departures.
const sweepInterval = time.Minute

// Expire advances the time and returns the events since the last call of Events or Expire. Call it at least once a second.
// Ramps and queue deadlines take effect only in these calls, so ten calls a second are recommended.
func (p *Point) Expire(now time.Duration) []Event {
	now = p.advance(now)
	for _, t := range p.sortedTargets() {
		p.expireTarget(now, t)
	}
	for p.retained.len() > 0 && p.retained.first().at <= p.activeTime() {
		p.dropOldestAnswer()
	}
	for p.ended.len() > 0 && p.ended.first().at < now {
		p.dropOldestRecord()
	}
	if now-p.lastSweep >= sweepInterval {
		p.lastSweep = now
		p.watermarks.sweep(now)
		p.departures.Expire(now)
	}
	return p.Events()
}

func (p *Point) expireTarget(now time.Duration, t *target) {
	p.markOverdue(t)
	p.refuseExpired(now, t)
	p.grantQueued(t)
	if t.missing || t.removed || p.activeTime()-t.announcedAt <= p.limits.MissingAfter {
		return
	}
	if t.Phase == model.PhaseLeaving {
		p.RemoveTarget(now, t.Target)
		return
	}
	t.missing = true
	p.pending = append(p.pending, Event{Kind: EventMissing, Target: t.Target})
}

// refuseExpired refuses the queued attempts whose queue deadline has passed.
func (p *Point) refuseExpired(now time.Duration, t *target) {
	for i := 0; i < len(t.queue); {
		if t.queue[i].queueDeadline > now {
			i++
			continue
		}
		p.refuseQueued(t.queue[i], verdict.QueueDeadline)
	}
}

// dropOldestRecord removes the record that ended first and raises the watermark to cover it.
func (p *Point) dropOldestRecord() {
	attempt := p.ended.first().attempt
	p.ended.pop()
	r := p.records[attempt]
	p.releaseResponse(r)
	delete(p.records, attempt)
	p.watermarks.raise(p.now, attempt)
	if r.state == StateNotAdmitted {
		p.pending = append(p.pending, Event{Kind: EventFenceDropped, Attempt: attempt})
	}
}

// dropOldestAnswer drops the oldest retained response unless it was acknowledged.
func (p *Point) dropOldestAnswer() {
	attempt := p.retained.first().attempt
	p.retained.pop()
	r := p.records[attempt]
	if r != nil && p.releaseResponse(r) {
		p.pending = append(p.pending, Event{Kind: EventAnswerDropped, Attempt: attempt})
	}
}
