package node

import (
	"context"
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/upstream"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// maxHeldAnswerBytes is the largest answer of a non-idempotent attempt that is held for collection. A larger one is
// passed on while it arrives.
const maxHeldAnswerBytes = 1 << 20

// admitter runs attempts at the targets beside this node. It is the shell around the admission point.
type admitter struct {
	clock       clock
	incarnation model.Incarnation
	upstreams   *upstream.Client
	// observe is told the end of each attempt that was admitted.
	observe func(observation)
	// mayRun asks the quarantine for permission to run a fingerprint. It is nil if there is none.
	mayRun func(fingerprint uint64) *verdict.Error

	mu      sync.Mutex
	point   *admission.Point
	waiting map[model.AttemptID]chan ticketOrRefusal
}

// ticketOrRefusal ends the wait of a queued attempt.
type ticketOrRefusal struct {
	address string
	err     *verdict.Error
}

// observation is the end of an admitted attempt, as evidence about its target.
type observation struct {
	target      model.TargetID
	service     model.ServiceName
	route       string
	idempotent  bool
	fingerprint uint64
	// inFlight are the other fingerprints that ran at the target when the attempt ended.
	inFlight []uint64
	result   upstream.Result
}

func newAdmitter(c clock, incarnation model.Incarnation, limits admission.Limits, upstreams *upstream.Client) *admitter {
	return &admitter{
		clock:       c,
		incarnation: incarnation,
		upstreams:   upstreams,
		observe:     func(observation) {},
		point:       admission.NewPoint(limits, incarnation),
		waiting:     make(map[model.AttemptID]chan ticketOrRefusal),
	}
}

// announce takes in what an upstream says about itself.
func (a *admitter) announce(n admission.Announcement) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	if err := a.point.Announce(now, n); err != nil {
		return err
	}
	a.handleEvents(a.point.Expire(now))
	return nil
}

// expire applies the passing of time and returns the targets that have gone missing.
func (a *admitter) expire() []model.TargetID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.handleEvents(a.point.Expire(a.clock.now()))
}

func (a *admitter) targets() []model.Target {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.point.Targets(a.clock.now())
}

func (a *admitter) inFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.point.InFlight()
}

// setOperatorDrains drains exactly the given targets among those beside this node.
func (a *admitter) setOperatorDrains(drained map[model.TargetID]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	for _, t := range a.point.Targets(now) {
		a.point.SetOperatorDrain(t.ID, drained[t.ID])
	}
	a.handleEvents(a.point.Expire(now))
}

// stop refuses all new and queued work.
func (a *admitter) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.point.StopAll()
	a.handleEvents(a.point.Expire(a.clock.now()))
}

func (a *admitter) collected(attempt string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.point.Collected(model.AttemptID(attempt))
}

func (a *admitter) lookup(req *peerv1.LookupRequest) admission.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	status := a.point.Lookup(now, model.AttemptID(req.Attempt), model.Incarnation(req.Incarnation), req.Fence)
	a.handleEvents(a.point.Expire(now))
	return status
}

// handleEvents wakes queued attempts. a.mu is held.
func (a *admitter) handleEvents(events []admission.Event) (missing []model.TargetID) {
	for _, e := range events {
		switch e.Kind {
		case admission.EventGranted:
			a.wake(e.Grant.Attempt, ticketOrRefusal{address: e.Grant.Address})
		case admission.EventRefused:
			a.wake(e.Attempt, ticketOrRefusal{err: e.Err})
		case admission.EventMissing:
			missing = append(missing, e.Target)
		}
	}
	return missing
}

func (a *admitter) handleGrants(grants []admission.Grant) {
	for _, g := range grants {
		a.wake(g.Attempt, ticketOrRefusal{address: g.Address})
	}
}

// wake ends the wait of a queued attempt. a.mu is held.
func (a *admitter) wake(attempt model.AttemptID, t ticketOrRefusal) {
	if ch, ok := a.waiting[attempt]; ok {
		delete(a.waiting, attempt)
		ch <- t
	}
}

// run runs one attempt and passes its answer to sink. It returns the trailer of the answer.
func (a *admitter) run(ctx context.Context, head *peerv1.ForwardHead, body []byte, sink peer.Sink) *peerv1.AnswerTrailer {
	timeout := time.Duration(head.TimeoutMs) * time.Millisecond
	deadline := a.clock.now() + timeout
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if a.mayRun != nil {
		if refusal := a.mayRun(head.Fingerprint); refusal != nil {
			return a.trailer(head, refusal)
		}
	}
	address, refusal := a.admit(ctx, head, deadline)
	if refusal != nil {
		return a.trailer(head, refusal)
	}
	if head.Idempotent {
		return a.runIdempotent(ctx, address, head, body, sink)
	}
	return a.runOnce(ctx, address, head, body, sink)
}

// admit waits for a slot and returns the address of the upstream.
func (a *admitter) admit(ctx context.Context, head *peerv1.ForwardHead, deadline time.Duration) (string, *verdict.Error) {
	attempt := model.AttemptID(head.Attempt)
	ch := make(chan ticketOrRefusal, 1)
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
func (a *admitter) leaveQueue(ctx context.Context, attempt model.AttemptID, ch chan ticketOrRefusal) (string, *verdict.Error) {
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
func (a *admitter) runIdempotent(ctx context.Context, address string, head *peerv1.ForwardHead, body []byte, sink peer.Sink) *peerv1.AnswerTrailer {
	result := a.upstreams.Run(ctx, address, head, body, sink)
	a.finish(head, result, nil)
	return a.resultTrailer(head, result)
}

// runOnce runs an admitted non-idempotent attempt. It goes on when the accepting node is gone, and holds the answer, so
// that the accepting node can ask for it on another connection.
func (a *admitter) runOnce(ctx context.Context, address string, head *peerv1.ForwardHead, body []byte, sink peer.Sink) *peerv1.AnswerTrailer {
	deadline, _ := ctx.Deadline()
	running, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	holder := &holdingSink{next: sink, limit: maxHeldAnswerBytes}
	result := a.upstreams.Run(running, address, head, body, holder)
	a.finish(head, result, holder.answer())
	return a.resultTrailer(head, result)
}

func (a *admitter) finish(head *peerv1.ForwardHead, result upstream.Result, answer *admission.Answer) {
	attempt := model.AttemptID(head.Attempt)
	target := model.TargetID(head.Target)
	a.mu.Lock()
	others := a.point.InFlightOf(target)
	grants := a.point.Finish(a.clock.now(), attempt, admission.Result{Outcome: outcomeOf(result.Outcome), Answer: answer})
	a.handleGrants(grants)
	a.mu.Unlock()
	a.observe(observation{
		target:      target,
		service:     model.ServiceName(head.Service),
		route:       head.Route,
		idempotent:  head.Idempotent,
		fingerprint: head.Fingerprint,
		inFlight:    fingerprints(others, attempt),
		result:      result,
	})
}

func fingerprints(requests []admission.Request, except model.AttemptID) []uint64 {
	if len(requests) < 2 {
		return nil
	}
	out := make([]uint64, 0, len(requests))
	for _, r := range requests {
		if r.Attempt != except {
			out = append(out, r.Fingerprint)
		}
	}
	return out
}

func outcomeOf(o upstream.Outcome) admission.Outcome {
	switch o {
	case upstream.Answered:
		return admission.Answered
	case upstream.Shed:
		return admission.Shed
	case upstream.Unreachable:
		return admission.Unreachable
	case upstream.Cancelled, upstream.SinkFailed:
		return admission.Cancelled
	}
	return admission.Lost
}

// resultTrailer returns the trailer for the end of a request at an upstream.
func (a *admitter) resultTrailer(head *peerv1.ForwardHead, result upstream.Result) *peerv1.AnswerTrailer {
	trailer := a.trailer(head, errorOf(result))
	trailer.TotalBytes = result.Bytes
	return trailer
}

// errorOf returns nil for a whole answer.
func errorOf(result upstream.Result) *verdict.Error {
	var e *verdict.Error
	switch result.Outcome {
	case upstream.Answered:
		return nil
	case upstream.Shed:
		e = verdict.Refused(verdict.UpstreamShed, result.Err)
	case upstream.Unreachable:
		e = verdict.Refused(verdict.UpstreamUnreachable, result.Err)
	case upstream.TimedOut:
		e = verdict.Uncertain(verdict.UpstreamTimeout, result.Err)
	case upstream.Incomplete:
		e = verdict.Uncertain(verdict.AnswerIncomplete, result.Err)
	case upstream.Cancelled, upstream.SinkFailed:
		e = verdict.Uncertain(verdict.CallerCancelled, result.Err)
	default:
		e = verdict.Uncertain(verdict.UpstreamLost, result.Err)
	}
	e.RetryAfter = result.RetryAfter
	return e
}

// trailer returns a trailer with the state of the target; e is nil for a whole answer.
func (a *admitter) trailer(head *peerv1.ForwardHead, e *verdict.Error) *peerv1.AnswerTrailer {
	trailer := &peerv1.AnswerTrailer{Verdict: int32(verdict.Ran), Load: a.loadOf(model.TargetID(head.Target))}
	if e == nil {
		return trailer
	}
	trailer.Verdict = int32(e.Verdict)
	trailer.Reason = string(e.Reason)
	trailer.RetryAfterMs = e.RetryAfter.Milliseconds()
	if e.Cause != nil {
		trailer.Detail = e.Cause.Error()
	}
	return trailer
}

func (a *admitter) loadOf(id model.TargetID) *peerv1.TargetLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	load, ok := a.point.LoadOf(id)
	if !ok {
		return nil
	}
	return &peerv1.TargetLoad{
		InFlight: int32(load.InFlight), Slots: int32(load.Slots), Queued: int32(load.Queued), Phase: int32(load.Phase),
	}
}
