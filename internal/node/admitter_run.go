package node

import (
	"context"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/upstream"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// run admits and runs one attempt, writes its response to sink, and returns the trailer of the response.
func (a *admitter) run(ctx context.Context, head *peerv1.ForwardHead, source peer.Body, sink peer.Sink) *peerv1.AnswerTrailer {
	if refusal := a.checkAccess(head); refusal != nil {
		return a.trailer(head, refusal)
	}
	timeout := time.Duration(head.TimeoutMs) * time.Millisecond
	limits := newRunLimits(a.clock.now(), head)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if refusal := a.crashes.awaitAllowed(ctx, head); refusal != nil {
		return a.trailer(head, refusal)
	}
	arrived := a.clock.now()
	address, refusal := a.admit(ctx, head, limits)
	if refusal != nil {
		return a.trailer(head, refusal)
	}
	waited := a.clock.now() - arrived
	trailer := a.runAdmitted(ctx, address, head, source, sink)
	trailer.WaitedMs = waited.Milliseconds()
	return trailer
}

// runAdmitted runs an attempt that has a slot.
func (a *admitter) runAdmitted(ctx context.Context, address string, head *peerv1.ForwardHead, source peer.Body, sink peer.Sink) *peerv1.AnswerTrailer {
	decision := a.decideTrial(model.TargetID(head.Target), head.Idempotent)
	if decision == trialRefused {
		a.end(head, admission.Result{Outcome: admission.Withdrawn})
		return a.trailer(head, verdict.Refused(verdict.TargetOnTrial, nil))
	}
	body, err := source()
	if err != nil {
		a.end(head, admission.Result{Outcome: admission.Withdrawn})
		return a.trailer(head, verdict.Refused(verdict.BodyIncomplete, err))
	}
	if refusal := a.begin(head); refusal != nil {
		a.end(head, admission.Result{Outcome: admission.Withdrawn})
		return a.trailer(head, refusal)
	}
	if head.Idempotent {
		return a.runIdempotent(ctx, address, head, body, sink, decision)
	}
	return a.runNonIdempotent(ctx, address, head, body, sink, decision)
}

// begin records that an attempt that has a slot is about to be sent to the upstream. It returns the refusal if the
// attempt must not be sent.
func (a *admitter) begin(head *peerv1.ForwardHead) *verdict.Error {
	if refusal := a.crashes.begin(head); refusal != nil {
		return refusal
	}
	a.mu.Lock()
	refusal := a.retryWindows.admit(a.clock.now(), head)
	a.mu.Unlock()
	if refusal != nil {
		a.crashes.finish(head, false)
	}
	return refusal
}

// admit waits for a slot and returns the address of the upstream.
func (a *admitter) admit(ctx context.Context, head *peerv1.ForwardHead, limits runLimits) (string, *verdict.Error) {
	attempt := model.AttemptID(head.Attempt)
	ch := make(chan slotOrRefusal, 1)
	a.mu.Lock()
	// A repeat that the budget does not allow must not wait for a slot first: its time is better spent at another target.
	if refusal := a.retryWindows.check(a.clock.now(), head); refusal != nil {
		a.mu.Unlock()
		return "", refusal
	}
	d := a.point.Admit(a.clock.now(), admission.Request{
		Attempt:     attempt,
		Service:     model.ServiceName(head.Service),
		Target:      model.TargetID(head.Target),
		Idempotent:  head.Idempotent,
		Incarnation: model.Incarnation(head.Incarnation),
		AdmitBefore: time.Duration(head.AdmitBeforeMs) * time.Millisecond,
		Deadline:    limits.deadline,
		AnswerBy:    limits.answerBy,
		Bulk:        head.Bulk,

		ReplacesCutRun: head.ReplacesCutRun,

		Fingerprint: head.Fingerprint,
		Route:       head.Route,
		Objective:   time.Duration(head.ObjectiveMs) * time.Millisecond,
		Rank:        int(head.Rank),

		ObjectiveRemaining: time.Duration(head.ObjectiveLeftMs) * time.Millisecond,

		IdleOnly:             head.IdleOnly,
		LastResort:           head.LastResort,
		RequireClosedBreaker: head.TrustedOnly,
	})
	if d.Kind == admission.Queued {
		a.waiting[attempt] = ch
	}
	a.mu.Unlock()
	switch d.Kind {
	case admission.Admitted:
		return d.Address, nil
	case admission.Refused:
		return "", d.Err
	}
	select {
	case t := <-ch:
		return t.address, t.err
	case <-ctx.Done():
		return a.leaveQueue(ctx, attempt, ch)
	}
}

// acceptorStops shortens the waits of the queued attempts of a node that stops.
func (a *admitter) acceptorStops(node model.NodeID, incarnation model.Incarnation, within time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	a.point.AcceptorStops(now, node, incarnation, now+within)
	a.handleEvents(a.point.Events())
}

// leaveQueue removes an attempt from the queue because its accepting node canceled it or its timeout expired. A slot that was
// granted meanwhile is returned unused: the request was not run in either case.
func (a *admitter) leaveQueue(ctx context.Context, attempt model.AttemptID, ch chan slotOrRefusal) (string, *verdict.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, attempt)
	_, grants := a.point.Cancel(a.clock.now(), attempt)
	a.handleGrants(grants)
	select {
	case t := <-ch:
		if t.err != nil {
			return "", t.err
		}
	default:
	}
	return "", verdict.Refused(verdict.QueueDeadline, ctx.Err())
}

// runIdempotent runs an admitted idempotent attempt. It is aborted when the accepting node cancels.
func (a *admitter) runIdempotent(ctx context.Context, address string, head *peerv1.ForwardHead, body []byte, sink peer.Sink, decision trialDecision) *peerv1.AnswerTrailer {
	if timer := a.watchOverdue(head, sink); timer != nil {
		defer timer.Stop()
	}
	ctx, release := a.untilCutOff(ctx)
	defer release()
	result := a.upstreams.Run(ctx, address, head, body, a.track(head, sink))
	return a.finish(address, head, result, nil, decision)
}

// watchOverdue starts a timer that reports to the accepting node when the attempt is overdue, so that the node can hedge
// it at another target. It returns nil if no report is wanted or the attempt has no limit.
func (a *admitter) watchOverdue(head *peerv1.ForwardHead, sink peer.Sink) *time.Timer {
	if !head.ReportOverdue {
		return nil
	}
	a.mu.Lock()
	limit := a.point.OverdueAfter(model.AttemptID(head.Attempt))
	a.mu.Unlock()
	if limit == 0 {
		return nil
	}
	return time.AfterFunc(limit, func() { peer.ReportOverdue(sink) })
}

// untilCutOff returns a context that also ends when this node cuts off its runs.
func (a *admitter) untilCutOff(ctx context.Context) (limited context.Context, release func()) {
	limited, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(a.runs, cancel)
	return limited, func() {
		stop()
		cancel()
	}
}

// runNonIdempotent runs an admitted non-idempotent attempt. The attempt continues when the connection to the accepting node
// is lost. Its response is retained so that the accepting node can fetch it over another connection.
func (a *admitter) runNonIdempotent(ctx context.Context, address string, head *peerv1.ForwardHead, body []byte, sink peer.Sink, decision trialDecision) *peerv1.AnswerTrailer {
	deadline, _ := ctx.Deadline()
	uncanceled, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	uncanceled, release := a.untilCutOff(uncanceled)
	defer release()
	retaining := &retainingSink{next: sink, limit: maxRetainedAnswerBytes}
	result := a.upstreams.Run(uncanceled, address, head, body, a.track(head, retaining))
	return a.finish(address, head, result, retaining.answer(), decision)
}

// track registers an admitted attempt as running and returns a sink that records its progress.
func (a *admitter) track(head *peerv1.ForwardHead, sink peer.Sink) *progressSink {
	p := &progressSink{
		next: sink, clock: a.clock, target: model.TargetID(head.Target), route: head.Route,
		limit: time.Duration(head.FirstByteMs) * time.Millisecond, started: a.clock.now(),
	}
	if head.Repeat || head.OfRepeat {
		p.retriedRequestID = head.RequestId
	}
	a.mu.Lock()
	a.running[model.AttemptID(head.Attempt)] = p
	a.parents.begin(head.RequestId)
	cutOffAt := a.runsCutOffAt
	a.mu.Unlock()
	if cutOffAt > 0 {
		go peer.ReportCutOff(sink, cutOffAt-a.clock.now())
	}
	return p
}

// finish ends an attempt that was sent to the upstream and returns its trailer.
func (a *admitter) finish(address string, head *peerv1.ForwardHead, result upstream.Result, answer *admission.Answer, decision trialDecision) *peerv1.AnswerTrailer {
	lossSerial := a.recordCrash(address, head, result)
	a.mu.Lock()
	coldStart := a.inColdStart(model.TargetID(head.Target))
	a.endParent(head, result.Outcome)
	a.mu.Unlock()
	o := observation{
		target:    model.TargetID(head.Target),
		service:   model.ServiceName(head.Service),
		route:     head.Route,
		coldStart: coldStart,
		isTrial:   decision == trialGranted,
		result:    result,
	}
	a.end(head, admission.Result{Outcome: outcomeOf(result.Outcome), Failed: a.countsAsFailure(o), Answer: answer})
	a.onAttemptEnd(o)
	trailer := a.trailer(head, a.outcomeOfRun(result))
	trailer.TotalBytes = result.Bytes
	trailer.LossSerial = lossSerial
	return trailer
}

// endParent records the end of an attempt whose run may have sent nested requests. a.mu is held.
func (a *admitter) endParent(head *peerv1.ForwardHead, outcome upstream.Outcome) {
	var until time.Duration
	run := a.running[model.AttemptID(head.Attempt)]
	if run != nil && mayContinue(outcome) {
		until = run.started + time.Duration(head.TimeoutMs)*time.Millisecond
	}
	a.parents.end(a.clock.now(), head.RequestId, until)
}

// mayContinue reports whether the upstream may go on with a request after the outcome.
func mayContinue(outcome upstream.Outcome) bool {
	switch outcome {
	case upstream.Answered, upstream.Shed, upstream.Unreachable:
		return false
	}
	return true
}

// outcomeOfRun returns the outcome of a run, nil for a complete response. A run that this node has cut off may be retried
// elsewhere, unlike one that its accepting node has cancelled.
func (a *admitter) outcomeOfRun(result upstream.Result) *verdict.Error {
	if result.Outcome == upstream.Cancelled && a.runs.Err() != nil {
		return verdict.Uncertain(verdict.NodeLost, errShutdownCutoff)
	}
	return errorOf(result)
}

// recordCrash records the end of an attempt with the quarantine. It returns the serial of the loss if the upstream crashed, 0
// otherwise. An upstream that has said that it leaves exits as planned.
func (a *admitter) recordCrash(address string, head *peerv1.ForwardHead, result upstream.Result) uint64 {
	a.mu.Lock()
	leaving := a.point.IsLeaving(model.TargetID(head.Target))
	a.mu.Unlock()
	if leaving && isBrokenConnection(result) {
		a.crashes.finish(head, false)
		return 0
	}
	return a.crashes.recordEnd(address, head, result)
}

// end frees the slot of an admitted attempt.
func (a *admitter) end(head *peerv1.ForwardHead, result admission.Result) {
	attempt := model.AttemptID(head.Attempt)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, attempt)
	a.handleGrants(a.point.Finish(a.clock.now(), attempt, result))
	a.handleEvents(a.point.Events())
}
