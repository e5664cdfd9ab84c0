package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// bulkReserve is the number of queue places that bulk requests leave to interactive ones.
const bulkReserve = 1

// shutdownRunFactor multiplies the expected run time of a request to decide whether it ends before the node stops.
const shutdownRunFactor = 2.0

// acceptorRunFactor does the same for an idempotent request whose accepting node stops. It is lower than shutdownRunFactor,
// because no other node could return the response.
const acceptorRunFactor = 1.0

// Admit decides whether to run, queue or refuse one attempt. A refusal is final for the attempt ID. IDs must come from
// model.NewAttemptID. IDs of another form have no watermark, so duplicates of them are not detected once their record
// has been removed.
func (p *Point) Admit(now time.Duration, r Request) Decision {
	now = p.advance(now)
	r.AnswerBy = p.answerBy(&r)
	if existing := p.records[r.Attempt]; existing != nil {
		return refusal(existing.duplicate())
	}
	if p.watermarks.covers(r.Attempt) {
		return refusal(verdict.Uncertain(verdict.AttemptDuplicate, nil))
	}
	t := p.targets[r.Target]
	if t != nil && t.Service != r.Service {
		t = nil
	}
	if reason := p.refusalReason(now, &r, t); reason != "" {
		return p.refuse(t, r, reason)
	}
	p.grantQueued(t)
	if !r.LastResort && !t.breaker.admits(p.activeTime(), r.Idempotent && !r.RequireClosedBreaker, t.probes(), t.Slots) {
		return p.refuse(t, r, verdict.TargetDoubtful)
	}
	if r.IdleOnly && !r.LastResort && !r.Idempotent && t.hasUnansweredRuns() {
		return p.refuse(t, r, verdict.SlotsFull)
	}
	if len(t.running) < t.rampSlots(p.activeTime(), p.limits.RampDuration) {
		return p.admit(t, r)
	}
	if reason := p.queueRefusalReason(now, &r, t); reason != "" {
		return p.refuse(t, r, reason)
	}
	return p.enqueue(t, r)
}

// refusalReason returns "" or the reason for which the request is refused regardless of free slots and of the breaker.
func (p *Point) refusalReason(now time.Duration, r *Request, t *target) verdict.Reason {
	switch {
	case r.Incarnation != p.incarnation:
		return verdict.WrongIncarnation
	case r.AdmitBefore < now, r.AdmitBefore > now+p.limits.MaxAdmitAhead:
		return verdict.AdmitExpired
	case r.Deadline <= now:
		return verdict.DeadlineExceeded
	}
	if reason := p.targetRefusalReason(t); reason != "" {
		return reason
	}
	if p.endsAfterShutdown(t, r) {
		return verdict.NodeStopping
	}
	if p.latestStart(t, r) < now {
		return verdict.AcceptorStopping
	}
	return ""
}

// endsAfterShutdown reports whether a run that starts now may still be in progress at the shutdown deadline.
func (p *Point) endsAfterShutdown(t *target, r *Request) bool {
	if p.shutdownDeadline == 0 {
		return false
	}
	expected := p.expectedRun(t, r)
	return expected == 0 || p.now+runAllowance(expected, r, shutdownRunFactor) > p.shutdownDeadline
}

// latestStart returns the time until which a run may start so that it probably ends before the accepting node stops. Without
// runs of the route to judge by, it may start at any time: only a caller's objective would speak against it.
func (p *Point) latestStart(t *target, r *Request) time.Duration {
	if r.AnswerBy == 0 {
		return r.Deadline
	}
	if t.runTimes.baseline(r.Route) == 0 {
		return r.end()
	}
	return r.end() - runAllowance(p.expectedRun(t, r), r, acceptorRunFactor)
}

// expectedRun returns the expected time of a run that starts now, 0 without an estimate.
func (p *Point) expectedRun(t *target, r *Request) time.Duration {
	return t.runTimes.expected(r.Route, r.Objective, t.coldUntil > p.activeTime())
}

// runAllowance returns the time that a run of the request is allowed in a shutdown. A run of a request that is not idempotent
// gets at least shutdownRunFactor: if it is cut off, its caller can't find out whether it took effect.
func runAllowance(expected time.Duration, r *Request, factor float64) time.Duration {
	if !r.Idempotent {
		factor = max(factor, shutdownRunFactor)
	}
	return time.Duration(factor * float64(expected))
}

// queueRefusalReason returns "" or the reason for which the request is not queued for a slot of the target.
func (p *Point) queueRefusalReason(now time.Duration, r *Request, t *target) verdict.Reason {
	places := p.limits.QueuePerTarget
	if r.Bulk {
		places -= bulkReserve
	}
	if r.IdleOnly || len(t.queue) >= places {
		return verdict.SlotsFull
	}
	wait := p.expectedWait(t, t.queuePosition(r))
	if wait > t.maxWait(now, r) || now+wait+t.runTimes.baseline(r.Route) >= r.end() {
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
	w := &work{request: r, target: t, queueDeadline: min(r.latest(), p.now+t.maxWait(p.now, &r), p.latestStart(t, &r))}
	p.records[r.Attempt] = &record{work: w, state: StateRunning}
	t.enqueue(w)
	return Decision{Kind: Queued, Load: p.load(t)}
}

func (p *Point) refuse(t *target, r Request, reason verdict.Reason) Decision {
	p.storeEnded(r.Attempt, &record{state: StateRefused, reason: reason})
	decision := refusal(verdict.Refused(reason, nil))
	if t != nil {
		decision.Load = p.load(t)
	}
	return decision
}

func refusal(err *verdict.Error) Decision { return Decision{Kind: Refused, Err: err} }

// duplicate returns the refusal of another frame with the same attempt ID. Its verdict is not-run only if the attempt
// never ran.
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
	if w.target.breaker.halfOpen {
		w.target.breaker.recordProbe(p.activeTime())
	}
	w.target.start(w, p.activeTime())
	p.inFlight++
}

// grantQueued assigns free slots of the target to its queued attempts. Events returns the grants.
func (p *Point) grantQueued(t *target) {
	for _, grant := range p.grants(t) {
		p.pending = append(p.pending, Event{Kind: EventGranted, Attempt: grant.Attempt, Target: t.Target, Grant: grant})
	}
}

// grants assigns free slots of the target to its queued attempts. Attempts whose queue deadline has passed and those
// that may not end before the node stops are refused instead.
func (p *Point) grants(t *target) []Grant {
	if len(t.queue) == 0 || p.targetRefusalReason(t) != "" {
		return nil
	}
	var grants []Grant
	slots := t.rampSlots(p.activeTime(), p.limits.RampDuration)
	for len(t.queue) > 0 && len(t.running) < slots {
		w := t.queue[0]
		if w.queueDeadline <= p.now {
			p.refuseQueued(w, verdict.QueueDeadline)
			continue
		}
		if p.endsAfterShutdown(t, &w.request) {
			p.refuseQueued(w, verdict.NodeStopping)
			continue
		}
		t.dequeue(w)
		p.start(w)
		grants = append(grants, Grant{Attempt: w.request.Attempt, Target: t.Target, Address: t.Address, Load: p.load(t)})
	}
	return grants
}

// updateQueue applies a state change of the target to its queue: it grants free slots, or refuses all queued attempts if
// the target does not accept requests.
func (p *Point) updateQueue(t *target) {
	reason := p.targetRefusalReason(t)
	if reason == "" {
		p.grantQueued(t)
		return
	}
	for len(t.queue) > 0 {
		p.refuseQueued(t.queue[0], reason)
	}
}

// refuseQueued refuses a queued attempt. Events returns the event.
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
