package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// bulkReserve is the number of queue places that bulk requests leave to interactive ones.
const bulkReserve = 1

// stopFactor is how many times its usual run time a request may take and still end before the node stops.
const stopFactor = 2.0

// Admit decides on one attempt. A refusal is final for the attempt ID. IDs come from model.NewAttemptID: one of another
// form has no watermark, so that nothing is known of it once its record was dropped.
func (p *Point) Admit(now time.Duration, r Request) Decision {
	now = p.advance(now)
	if known := p.records[r.Attempt]; known != nil {
		return refusal(known.duplicate())
	}
	if p.watermarks.covers(r.Attempt) {
		return refusal(verdict.Uncertain(verdict.AttemptDuplicate, nil))
	}
	t := p.targets[r.Target]
	if t != nil && t.Service != r.Service {
		t = nil
	}
	if reason := p.reasonAgainstRequest(now, &r, t); reason != "" {
		return p.refuse(t, r, reason)
	}
	p.grantQueued(t)
	if !r.LastResort && !t.health.admits(p.active(), r.Idempotent && !r.TrustedOnly, t.probes(), t.Slots) {
		return p.refuse(t, r, verdict.TargetDoubtful)
	}
	if len(t.running) < t.rampSlots(p.active(), p.limits.RampFor) {
		return p.admit(t, r)
	}
	if reason := p.reasonAgainstQueueing(now, &r, t); reason != "" {
		return p.refuse(t, r, reason)
	}
	return p.enqueue(t, r)
}

func (p *Point) reasonAgainstRequest(now time.Duration, r *Request, t *target) verdict.Reason {
	switch {
	case r.Incarnation != p.incarnation:
		return verdict.WrongIncarnation
	case r.AdmitBefore < now, r.AdmitBefore > now+p.limits.MaxAdmitAhead:
		return verdict.AdmitExpired
	case r.Deadline <= now:
		return verdict.DeadlineExceeded
	}
	if reason := p.reasonAgainst(t); reason != "" {
		return reason
	}
	if p.endsTooLate(t, r) {
		return verdict.NodeStopping
	}
	return ""
}

// endsTooLate reports whether a run that began now might not end before the node stops.
func (p *Point) endsTooLate(t *target, r *Request) bool {
	if p.stopBy == 0 {
		return false
	}
	expected := t.runTimes.expected(r.Route, r.Objective, t.coldUntil > p.active())
	return expected == 0 || p.now+time.Duration(stopFactor*float64(expected)) > p.stopBy
}

// reasonAgainstQueueing returns "" or the reason for which the request does not wait for a slot of the target.
func (p *Point) reasonAgainstQueueing(now time.Duration, r *Request, t *target) verdict.Reason {
	places := p.limits.QueuePerTarget
	if r.Bulk {
		places -= bulkReserve
	}
	if r.IdleOnly || len(t.queue) >= places {
		return verdict.SlotsFull
	}
	wait := p.waitFor(t, t.ahead(r))
	if wait > t.maxWait(now, r) || now+wait+t.runTimes.usual(r.Route) >= r.Deadline {
		return verdict.QueueDeadline
	}
	return ""
}

func (p *Point) admit(t *target, r Request) Decision {
	w := &work{request: r, target: t}
	p.records[r.Attempt] = &record{work: w, state: StateRunning}
	p.start(w)
	return Decision{Kind: Admitted, Address: t.Address, Load: p.load(t)}
}

func (p *Point) enqueue(t *target, r Request) Decision {
	w := &work{request: r, target: t, leaveAt: min(r.latest(), p.now+t.maxWait(p.now, &r))}
	p.records[r.Attempt] = &record{work: w, state: StateRunning}
	t.enqueue(w)
	return Decision{Kind: Queued, Load: p.load(t)}
}

func (p *Point) refuse(t *target, r Request, reason verdict.Reason) Decision {
	p.keep(r.Attempt, &record{state: StateRefused, reason: reason})
	decision := refusal(verdict.Refused(reason, nil))
	if t != nil {
		decision.Load = p.load(t)
	}
	return decision
}

func refusal(err *verdict.Error) Decision { return Decision{Kind: Refused, Err: err} }

// duplicate returns the answer to another frame with the same attempt ID. Only an attempt that never ran is not-run.
func (r *record) duplicate() *verdict.Error {
	switch r.state {
	case StateNotAdmitted:
		return verdict.Refused(verdict.AttemptFenced, nil)
	case StateRefused:
		return verdict.Refused(verdict.AttemptDuplicate, nil)
	}
	return verdict.Uncertain(verdict.AttemptDuplicate, nil)
}

func (p *Point) start(w *work) {
	if w.target.health.doubtful {
		w.target.health.probed(p.active())
	}
	w.target.start(w, p.active())
	p.inFlight++
}

// grantQueued gives free slots of the target to its queue and leaves the grants to Events.
func (p *Point) grantQueued(t *target) {
	for _, grant := range p.grants(t) {
		p.pending = append(p.pending, Event{Kind: EventGranted, Attempt: grant.Attempt, Target: t.Target, Grant: grant})
	}
}

// grants gives free slots of the target to its queue. Attempts whose time has passed are refused instead.
func (p *Point) grants(t *target) []Grant {
	if len(t.queue) == 0 || p.reasonAgainst(t) != "" {
		return nil
	}
	var grants []Grant
	slots := t.rampSlots(p.active(), p.limits.RampFor)
	for len(t.queue) > 0 && len(t.running) < slots {
		w := t.queue[0]
		if w.leaveAt <= p.now {
			p.refuseQueued(w, verdict.QueueDeadline)
			continue
		}
		if p.endsTooLate(t, &w.request) {
			p.refuseQueued(w, verdict.NodeStopping)
			continue
		}
		t.dequeue(w)
		p.start(w)
		grants = append(grants, Grant{Attempt: w.request.Attempt, Target: t.Target, Address: t.Address, Load: p.load(t)})
	}
	return grants
}

// settle applies a change of the target to its queue.
func (p *Point) settle(t *target) {
	reason := p.reasonAgainst(t)
	if reason == "" {
		p.grantQueued(t)
		return
	}
	for len(t.queue) > 0 {
		p.refuseQueued(t.queue[0], reason)
	}
}

// refuseQueued refuses a queued attempt and leaves the event to Events.
func (p *Point) refuseQueued(w *work, reason verdict.Reason) {
	w.target.dequeue(w)
	p.end(w, StateRefused, reason)
	p.pending = append(p.pending, Event{
		Kind:    EventRefused,
		Attempt: w.request.Attempt,
		Target:  w.target.Target,
		Err:     verdict.Refused(reason, nil),
	})
}
