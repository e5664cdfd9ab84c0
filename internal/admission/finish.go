package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Finish ends an admitted attempt and frees its slot. It returns grants for the queued attempts that got a slot. Further
// calls for the same attempt have no effect.
func (p *Point) Finish(now time.Duration, attempt model.AttemptID, result Result) []Grant {
	p.advance(now)
	r := p.records[attempt]
	if r == nil || r.work == nil || r.work.queued {
		return nil
	}
	w := r.work
	w.target.stop(w)
	p.inFlight--
	p.recordOutcome(w, result)
	p.endWithResult(w, r, result)
	p.removeIfUnused(w.target)
	return p.grants(w.target)
}

func (p *Point) recordOutcome(w *work, result Result) {
	run := p.activeTime() - w.started
	switch result.Outcome {
	case Answered:
		w.target.successes++
		w.target.recordRunTime(run)
	case Lost, Unreachable:
		w.target.failures++
	}
	p.updateBreaker(w, result, run)
}

// updateBreaker applies the result of a run to the circuit breaker of its target.
func (p *Point) updateBreaker(w *work, result Result, run time.Duration) {
	t := w.target
	if result.Outcome == Answered && !result.Failed {
		t.runTimes.add(w.request.Route, run)
	}
	switch {
	case result.Outcome == Answered && !result.Failed:
		// A success counts even if it was overdue: it shows that the target is slow but does not hang.
		p.applySuccess(w, run)
	case w.severelyOverdue:
	case w.overdue:
		p.applyOverdue(w, run)
	case result.Failed && result.Outcome == Answered && t.runTimes.isQuick(w.request.Route, run):
		p.applyFailure(w, run, t.breaker.recordFailure)
	case result.Failed && result.Outcome == Answered:
		p.applyFailure(w, run, t.breaker.recordFailureStatus)
	case result.Outcome == Shed:
		p.applyFailure(w, run, t.breaker.recordShed)
	case result.Failed:
		p.applyFailure(w, run, t.breaker.recordFailure)
	}
	p.refuseQueuedIfHalfOpen(t)
}

// applyFailure applies a failed or overdue run to the breaker of its target through record.
func (p *Point) applyFailure(w *work, run time.Duration, record func(now time.Duration)) {
	t := w.target
	wasHalfOpen := t.breaker.halfOpen
	record(p.activeTime())
	if !wasHalfOpen && t.breaker.halfOpen {
		p.pending = append(p.pending, Event{Kind: EventBreakerTripped, Target: t.Target, Evidence: p.evidence(w, run)})
	}
}

// applySuccess applies a successful run to the breaker of its target.
func (p *Point) applySuccess(w *work, run time.Duration) {
	t := w.target
	wasHalfOpen := t.breaker.halfOpen
	t.breaker.recordSuccess(p.activeTime())
	t.lastSuccess = p.activeTime()
	if wasHalfOpen && !t.breaker.halfOpen {
		p.pending = append(p.pending, Event{Kind: EventBreakerClosed, Target: t.Target, Evidence: p.evidence(w, run)})
	}
}

func (p *Point) evidence(w *work, run time.Duration) RunEvidence {
	return RunEvidence{
		Attempt: w.request.Attempt, Route: w.request.Route, Overdue: w.overdue,
		RunTime: run, OverdueAfter: p.overdueAfter(w), RequiredSuccesses: w.target.requiredSuccesses(),
	}
}

// OverdueAfter returns how long an admitted attempt may run before it is overdue, 0 without an estimate.
func (p *Point) OverdueAfter(attempt model.AttemptID) time.Duration {
	r := p.records[attempt]
	if r == nil || r.work == nil {
		return 0
	}
	return p.overdueAfter(r.work)
}

func (p *Point) overdueAfter(w *work) time.Duration { return overdueAfter(p.expected(w)) }

// expected returns the estimated run time of the attempt, 0 without an estimate.
func (p *Point) expected(w *work) time.Duration {
	cold := w.target.coldUntil > w.started
	return w.target.runTimes.expected(w.request.Route, w.request.Objective, cold)
}

// markOverdue applies runs that have become overdue to the breaker of the target.
func (p *Point) markOverdue(t *target) {
	for _, w := range t.running {
		p.markOverdueRun(w)
	}
	p.refuseQueuedIfHalfOpen(t)
}

// markOverdueRun counts a run as a failure of its target when it becomes overdue, and again when it becomes severely
// overdue, so that a single such run trips the breaker.
func (p *Point) markOverdueRun(w *work) {
	limit, run := p.overdueAfter(w), p.activeTime()-w.started
	switch {
	case limit == 0 || run < limit:
	case !w.overdue:
		w.overdue = true
		p.applyOverdue(w, run)
	case !w.severelyOverdue && run >= time.Duration(severeOverdueFactor*float64(limit)):
		w.severelyOverdue = true
		p.applyOverdue(w, run)
	}
}

// applyOverdue applies an overdue run to the breaker. A run that started before the breaker tripped is ignored, because
// it is no evidence of the target's state since then.
func (p *Point) applyOverdue(w *work, run time.Duration) {
	if w.started >= w.target.breaker.trippedAt {
		p.applyFailure(w, run, w.target.breaker.recordOverdue)
	}
}

// refuseQueuedIfHalfOpen refuses the queued attempts of a target whose breaker is half-open, so that they fail over to
// another target in time. Last-resort attempts stay queued.
func (p *Point) refuseQueuedIfHalfOpen(t *target) {
	if !t.breaker.halfOpen {
		return
	}
	for i := 0; i < len(t.queue); {
		if t.queue[i].request.LastResort {
			i++
			continue
		}
		p.refuseQueued(t.queue[i], verdict.TargetDoubtful)
	}
}

func (p *Point) endWithResult(w *work, r *record, result Result) {
	switch result.Outcome {
	case Answered:
		p.end(w, StateEnded, "")
		p.retainResponse(w, r, result.Answer)
	case Shed:
		p.end(w, StateRefused, verdict.UpstreamShed)
	case Unreachable:
		p.end(w, StateRefused, verdict.UpstreamUnreachable)
	case Withdrawn:
		p.end(w, StateRefused, verdict.CallerGone)
	case Lost:
		p.end(w, StateLost, verdict.UpstreamLost)
	default:
		p.end(w, StateEnded, verdict.CallerCancelled)
	}
}

// Cancel ends an attempt whose caller has disconnected. A queued attempt is removed without having run. An admitted one
// ends as with Finish and Cancelled, so the caller of Cancel must first close its connection to the upstream.
func (p *Point) Cancel(now time.Duration, attempt model.AttemptID) (wasQueued bool, grants []Grant) {
	p.advance(now)
	r := p.records[attempt]
	if r == nil || r.work == nil {
		return false, nil
	}
	if !r.work.queued {
		return false, p.Finish(now, attempt, Result{Outcome: Cancelled})
	}
	r.work.target.dequeue(r.work)
	p.end(r.work, StateRefused, verdict.CallerGone)
	return true, nil
}

// end turns the record of a queued or running attempt into that of an ended one.
func (p *Point) end(w *work, state State, reason verdict.Reason) {
	r := p.records[w.request.Attempt]
	r.work = nil
	r.state = state
	r.reason = reason
	p.storeEnded(w.request.Attempt, r)
}

// storeEnded stores the record of an ended attempt and sets its expiry.
func (p *Point) storeEnded(attempt model.AttemptID, r *record) {
	p.records[attempt] = r
	p.ended.push(expiry{attempt: attempt, at: p.now + p.limits.FenceTTL})
	if p.ended.len() > p.limits.Records {
		p.dropOldestRecord()
	}
}

// retainResponse retains the response until it is acknowledged or expires. Over the size limit the oldest retained
// responses are dropped.
func (p *Point) retainResponse(w *work, r *record, answer *Answer) {
	if answer == nil || answer.Size() > p.limits.RetainedBytes {
		return
	}
	r.answer = answer
	r.awaitedUntil = w.request.Deadline
	r.state = StateAnswered
	p.retainedBytes += answer.Size()
	p.retained.push(expiry{attempt: w.request.Attempt, at: p.activeTime() + p.limits.RetainedTTL})
	for p.retainedBytes > p.limits.RetainedBytes {
		p.dropOldestAnswer()
	}
}

// AcknowledgeResponse drops the retained response of an attempt, because its accepting node has received it.
func (p *Point) AcknowledgeResponse(attempt model.AttemptID) {
	if r := p.records[attempt]; r != nil {
		p.releaseResponse(r)
	}
}

// releaseResponse drops the retained response of a record and reports whether there was one.
func (p *Point) releaseResponse(r *record) bool {
	if r.answer == nil {
		return false
	}
	p.retainedBytes -= r.answer.Size()
	r.answer = nil
	r.state = StateEnded
	return true
}
