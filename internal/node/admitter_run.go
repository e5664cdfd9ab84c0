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

// run runs one attempt and passes its answer to sink. It returns the trailer of the answer.
func (a *admitter) run(ctx context.Context, head *peerv1.ForwardHead, source peer.Body, sink peer.Sink) *peerv1.AnswerTrailer {
	timeout := time.Duration(head.TimeoutMs) * time.Millisecond
	deadline := a.clock.now() + timeout
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if refusal := a.crashes.await(ctx, head); refusal != nil {
		return a.trailer(head, refusal)
	}
	arrived := a.clock.now()
	address, refusal := a.admit(ctx, head, deadline)
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
	ruling := a.mayTry(model.TargetID(head.Target), head.Idempotent)
	if ruling == trialRefused {
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
		return a.runIdempotent(ctx, address, head, body, sink, ruling)
	}
	return a.runOnce(ctx, address, head, body, sink, ruling)
}

// begin returns why an attempt that has a slot is not sent to the upstream, nil if it is.
func (a *admitter) begin(head *peerv1.ForwardHead) *verdict.Error {
	if refusal := a.crashes.begin(head); refusal != nil {
		return refusal
	}
	a.mu.Lock()
	refusal := a.repeats.admit(a.clock.now(), head)
	a.mu.Unlock()
	if refusal != nil {
		a.crashes.finish(head, false)
	}
	return refusal
}

// admit waits for a slot and returns the address of the upstream.
func (a *admitter) admit(ctx context.Context, head *peerv1.ForwardHead, deadline time.Duration) (string, *verdict.Error) {
	attempt := model.AttemptID(head.Attempt)
	ch := make(chan slotOrRefusal, 1)
	a.mu.Lock()
	d := a.point.Admit(a.clock.now(), admission.Request{
		Attempt:     attempt,
		Service:     model.ServiceName(head.Service),
		Target:      model.TargetID(head.Target),
		Idempotent:  head.Idempotent,
		Incarnation: model.Incarnation(head.Incarnation),
		AdmitBefore: time.Duration(head.AdmitBeforeMs) * time.Millisecond,
		Deadline:    deadline,
		Bulk:        head.Bulk,
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

// leaveQueue takes an attempt out of the queue whose accepting node gave up. If a slot was granted meanwhile, it is
// given back unused: the request was not run either way.
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

// runIdempotent runs an admitted attempt. It ends when the accepting node cancels.
func (a *admitter) runIdempotent(ctx context.Context, address string, head *peerv1.ForwardHead, body []byte, sink peer.Sink, ruling trialRuling) *peerv1.AnswerTrailer {
	if timer := a.watchOverdue(head, sink); timer != nil {
		defer timer.Stop()
	}
	result := a.upstreams.Run(ctx, address, head, body, a.track(head, sink))
	return a.finish(address, head, result, nil, ruling)
}

// watchOverdue tells the accepting node when the attempt is overdue, so that it can try another target as well. The timer
// is nil if there is nothing to tell.
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

// runOnce runs an admitted non-idempotent attempt. It goes on when the accepting node is gone, and holds the answer, so
// that the accepting node can ask for it on another connection.
func (a *admitter) runOnce(ctx context.Context, address string, head *peerv1.ForwardHead, body []byte, sink peer.Sink, ruling trialRuling) *peerv1.AnswerTrailer {
	deadline, _ := ctx.Deadline()
	running, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	holder := &retainingSink{next: sink, limit: maxHeldAnswerBytes}
	result := a.upstreams.Run(running, address, head, body, a.track(head, holder))
	return a.finish(address, head, result, holder.answer(), ruling)
}

// track returns a sink that follows the progress of an admitted attempt.
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
	a.mu.Unlock()
	return p
}

// finish ends an attempt that was sent to the upstream and returns its trailer.
func (a *admitter) finish(address string, head *peerv1.ForwardHead, result upstream.Result, answer *admission.Answer, ruling trialRuling) *peerv1.AnswerTrailer {
	lossSerial := a.crashes.ended(address, head, result)
	a.mu.Lock()
	warming := a.isWarming(model.TargetID(head.Target))
	a.mu.Unlock()
	o := observation{
		target:  model.TargetID(head.Target),
		service: model.ServiceName(head.Service),
		route:   head.Route,
		warming: warming,
		trial:   ruling == trialGranted,
		result:  result,
	}
	a.end(head, admission.Result{Outcome: outcomeOf(result.Outcome), Failed: a.countsAgainst(o), Answer: answer})
	a.observe(o)
	trailer := a.trailer(head, errorOf(result))
	trailer.TotalBytes = result.Bytes
	trailer.LossSerial = lossSerial
	return trailer
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
