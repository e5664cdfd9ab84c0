package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// sweepEvery is the time between two sweeps of the watermarks.
const sweepEvery = time.Minute

// Expire applies the passing of time and returns what happened since the last call of Events or Expire. It is called at
// least once a second; ramps and queue deadlines take effect at its calls, so ten times a second is better.
func (p *Point) Expire(now time.Duration) []Event {
	now = p.advance(now)
	for _, t := range p.sorted() {
		p.expireTarget(now, t)
	}
	for p.held.len() > 0 && p.held.first().at <= p.active() {
		p.dropOldestAnswer()
	}
	for p.ended.len() > 0 && p.ended.first().at < now {
		p.dropOldestRecord()
	}
	if now-p.swept >= sweepEvery {
		p.swept = now
		p.watermarks.sweep(now)
		p.forgetDepartures()
	}
	return p.Events()
}

func (p *Point) expireTarget(now time.Duration, t *target) {
	p.noteOverdue(t)
	p.refuseLate(now, t)
	p.grantQueued(t)
	if t.missing || t.forgotten || p.active()-t.seen <= p.limits.MissingAfter {
		return
	}
	if t.Phase == model.PhaseLeaving {
		p.Forget(now, t.Target)
		return
	}
	t.missing = true
	p.pending = append(p.pending, Event{Kind: EventMissing, Target: t.Target})
}

// refuseLate refuses the queued attempts whose time has passed.
func (p *Point) refuseLate(now time.Duration, t *target) {
	for i := 0; i < len(t.queue); {
		if t.queue[i].leaveAt > now {
			i++
			continue
		}
		p.refuseQueued(t.queue[i], verdict.QueueDeadline)
	}
}

// dropOldestRecord drops the record that ended first and raises the watermark in its place.
func (p *Point) dropOldestRecord() {
	attempt := p.ended.first().attempt
	p.ended.pop()
	r := p.records[attempt]
	p.release(r)
	delete(p.records, attempt)
	p.watermarks.raise(p.now, attempt)
	if r.state == StateNotAdmitted {
		p.pending = append(p.pending, Event{Kind: EventFenceDropped, Attempt: attempt})
	}
}

// dropOldestAnswer drops the answer that was held first, if it was not collected.
func (p *Point) dropOldestAnswer() {
	attempt := p.held.first().attempt
	p.held.pop()
	r := p.records[attempt]
	if r != nil && p.release(r) {
		p.pending = append(p.pending, Event{Kind: EventAnswerDropped, Attempt: attempt})
	}
}
