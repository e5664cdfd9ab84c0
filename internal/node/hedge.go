package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/placement"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// maxConcurrentAttempts is the largest number of parallel attempts of one request.
const maxConcurrentAttempts = 2

// hedge runs an idempotent request at one target and, when that takes much longer than the baseline, at a second one in
// parallel. The first complete response wins and cancels the other attempt. Hedging handles targets that hang. The
// first run continues in the meantime: cancelling it before another target has admitted the request would fail requests
// that are merely slow.
type hedge struct {
	acceptor *acceptor
	rq       *request
	budget   *lockedBudget
	out      *delivery
	// winner is the number of the attempt whose response may be sent to the caller, 0 while there is none.
	winner  atomic.Int32
	results chan hedgeResult
	// extraAttempts is the number of attempts after the first that a target has admitted or may still admit. Only run
	// uses it.
	extraAttempts int
	// hedged means that the second attempt was started. A stopping node resets it to repeat one that was refused. Only run
	// uses it.
	hedged bool
}

// hedgeResult is the result of one attempt.
type hedgeResult struct {
	number int32
	out    *delivery
	err    *verdict.Error
}

// failed reports whether the attempt has no response or a server error, so that the other attempt may succeed.
func (r *hedgeResult) failed() bool { return r.err != nil || r.out.status() >= minServerErrorStatus }

// wasRefused reports whether no target has run the request.
func (r *hedgeResult) wasRefused() bool { return r.err != nil && r.err.Verdict == verdict.NotRun }

// minServerErrorStatus is the lowest status that indicates a failure of the upstream.
const minServerErrorStatus = 500

// run returns the outcome of the request and leaves the response in h.out.
func (h *hedge) run(ctx context.Context, choice placement.Choice) *verdict.Error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	overdue := make(chan struct{}, 1)
	first := h.newAttemptDelivery(1)
	first.onOverdue = func() { signal(overdue) }
	h.start(1, first, func() *verdict.Error { return h.acceptor.runAttempt(ctx, h.rq, choice, openGate{}, first) })
	started := time.Now()
	baseline := baselineOrDefault(h.acceptor.attemptDurations.of(h.rq.head.Route), h.rq.objective())
	overdueTimer := time.NewTimer(hedgeDelay(baseline))
	defer overdueTimer.Stop()
	shutdown := h.acceptor.cutoff.announced
	var beforeCutoff <-chan time.Time
	running := 1
	var best *hedgeResult
	for {
		select {
		case <-overdueTimer.C:
			signal(overdue)
		case <-shutdown:
			shutdown = nil
			beforeCutoff = time.After(hedgeDelayBeforeCutoff(baseline, time.Since(started), h.acceptor.cutoff.remaining()))
		case <-beforeCutoff:
			// Targets may have become free since a second attempt was refused.
			h.hedged = h.extraAttempts > 0
			signal(overdue)
		case <-overdue:
			if running > 1 || h.hedged {
				continue
			}
			if !h.takeHedgeBudget() {
				beforeCutoff = h.retryBeforeCutoff()
				continue
			}
			h.hedged = true
			running++
			h.extraAttempts = 1
			h.startSecondAttempt(ctx, choice)
		case r := <-h.results:
			running--
			if r.number != 1 && r.wasRefused() {
				h.extraAttempts = 0
				beforeCutoff = h.retryBeforeCutoff()
			}
			if h.isDecided(&r) {
				return h.useResult(&r)
			}
			best = betterResult(best, &r)
			if running == 0 {
				return h.useResult(best)
			}
		}
	}
}

// isDecided reports whether the result is the outcome of the request: the response that is already being sent, whether it
// is complete or not, or the first complete one. The other attempt can then no longer send its response.
func (h *hedge) isDecided(r *hedgeResult) bool {
	if r.failed() {
		return h.winner.Load() == r.number
	}
	return h.claim(r.number)
}

// claim reports whether the attempt may send its response, because the other one has not started to send its own.
func (h *hedge) claim(number int32) bool {
	return h.winner.CompareAndSwap(0, number) || h.winner.Load() == number
}

// retryBeforeCutoff returns a channel that delivers when a second attempt that was refused, or could not be made, is tried
// again. It returns nil if the node is not stopping.
func (h *hedge) retryBeforeCutoff() <-chan time.Time {
	select {
	case <-h.acceptor.cutoff.announced:
		return time.After(refusedHedgeInterval)
	default:
		return nil
	}
}

// signal sends on the channel without blocking.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// betterResult returns the preferred result. A response of an upstream is preferred to an outcome without a response,
// and an attempt that may have run to one that did not run.
func betterResult(a, b *hedgeResult) *hedgeResult {
	switch {
	case a == nil || !b.failed():
		return b
	case b.err == nil && a.err != nil:
		return b
	case a.err != nil && b.err != nil && a.err.Verdict == verdict.NotRun:
		return b
	}
	return a
}

// useResult moves the response of the result to the delivery of the request and returns its outcome.
func (h *hedge) useResult(r *hedgeResult) *verdict.Error {
	onOverdue, mayCommit := h.out.onOverdue, h.out.mayCommit
	*h.out = *r.out
	h.out.onOverdue, h.out.mayCommit = onOverdue, mayCommit
	return r.err
}

// newAttemptDelivery returns the delivery of one attempt. Once one attempt has started to send its response, the other
// attempt can no longer send its own.
func (h *hedge) newAttemptDelivery(number int32) *delivery {
	d := newDelivery(h.out.next, h.out.bufferLimit)
	d.unmodifiedHead = h.out.unmodifiedHead
	d.isAdditional = h.out.isAdditional
	d.mayCommit = func() bool { return h.claim(number) }
	return d
}

// takeHedgeBudget takes a retry from the budget for the second attempt. It returns false if a response is already being
// sent, if no other target or no time remains, or if the budget is exhausted.
func (h *hedge) takeHedgeBudget() bool {
	if h.winner.Load() != 0 {
		return false
	}
	a := h.acceptor
	service := a.view.Load().Service(h.rq.service)
	if service == nil || service.Pool.Len() < 2 {
		return false
	}
	if h.rq.remaining() <= 0 || !h.budget.take(a.clock.now()) {
		return false
	}
	a.metrics.Retried(verdict.UpstreamTimeout)
	a.log.Emit(events.RequestHedged, events.RequestField(h.rq.head.RequestId), events.ServiceField(h.rq.service))
	return true
}

// start runs an attempt in the background and sends its result. A panic ends only the attempt: its request may have run.
func (h *hedge) start(number int32, out *delivery, attempt func() *verdict.Error) {
	go func() {
		result := hedgeResult{number: number, out: out}
		defer func() { h.results <- result }()
		defer func() {
			if cause := recover(); cause != nil {
				logPanic(h.acceptor.log, "attempt", cause)
				result.err = verdict.Uncertain(verdict.NodeLost, nil)
			}
		}()
		result.err = attempt()
	}()
}

// startSecondAttempt tries the other targets until one admits the request. It also waits in their queues: at high load no
// slot is free, and the first run may hang until the deadline.
func (h *hedge) startSecondAttempt(ctx context.Context, first placement.Choice) {
	var tried routing.Tried
	tried.Add(first.Candidate.Target.ID)
	out := h.newAttemptDelivery(2)
	out.isAdditional = true
	h.start(2, out, func() *verdict.Error { return h.tryOtherTargets(ctx, &tried, out) })
}

// tryOtherTargets tries the targets of a new plan until one of them runs or may have run the request. It ends before
// the last resort.
func (h *hedge) tryOtherTargets(ctx context.Context, tried *routing.Tried, out *delivery) *verdict.Error {
	a := h.acceptor
	plan := a.newPlan(h.rq, a.view.Load().Service(h.rq.service), tried)
	for {
		choice, ok := plan.Next()
		if !ok || choice.Mode == placement.LastResort {
			return verdict.Refused(verdict.NoTarget, nil)
		}
		err := a.runAttempt(ctx, h.rq, choice, openGate{}, out)
		if err == nil || err.Verdict != verdict.NotRun {
			return err
		}
		plan.RecordRefusal(placementRefusal(err))
	}
}
