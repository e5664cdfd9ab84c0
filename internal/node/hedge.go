package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sardinereach/sardinereach/internal/access"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/placement"
	"github.com/sardinereach/sardinereach/internal/retry"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// firstAttempt is the number of the first attempt of a hedge.
const firstAttempt = 1

// hedge runs an idempotent request at one target and, when that takes much longer than the baseline, at a second one in
// parallel. The first complete response wins and cancels the other attempt. Hedging handles targets that hang. The first run
// continues in the meantime: cancelling it before another target has admitted the request would fail requests that are merely
// slow.
//
// When a node stops that the request depends on, another attempt follows in time, and replaces attempts that were refused or
// have ended.
type hedge struct {
	acceptor *acceptor
	rq       *request
	budget   *lockedBudget
	out      *delivery
	// winner is the number of the attempt whose response may be sent to the caller, 0 while there is none.
	winner  atomic.Int32
	results chan hedgeResult
	// cutOff receives the time after which an attempt is cut off, when its admitting node stops.
	cutOff chan time.Duration
	// maxExtraAttempts is the number of attempts that the request may have after the first.
	maxExtraAttempts int

	// The fields below are used by run only.

	// attempts is the number of attempts that were started.
	attempts int32
	// extraAttempts is the number of attempts after the first that a target has admitted or may still admit.
	extraAttempts int
	// tried holds the targets that have admitted an attempt.
	tried routing.Tried
	// spent holds the targets whose part of the retry budget is exhausted.
	spent []model.TargetID
	// hedged means that another attempt was started. It is reset to make one more because a node stops.
	hedged bool
	// stopping means that this node, or the admitting node of an attempt, stops.
	stopping bool
	// nextAttempt fires when another attempt is due because a node stops.
	nextAttempt earliestTimer
}

// newHedge returns a hedge whose request may have up to maxExtraAttempts attempts after the first. The response is left in out.
func newHedge(a *acceptor, rq *request, budget *lockedBudget, maxExtraAttempts int, out *delivery) *hedge {
	return &hedge{
		acceptor: a, rq: rq, budget: budget, out: out, maxExtraAttempts: maxExtraAttempts,
		results: make(chan hedgeResult, maxExtraAttempts+1), attempts: firstAttempt, cutOff: make(chan time.Duration, 1),
	}
}

// hedgeResult is the result of one attempt.
type hedgeResult struct {
	number int32
	out    *delivery
	err    *verdict.Error
	// target has admitted the attempt, or refused it last.
	target model.TargetID
	// spent are the targets that refused the attempt because their part of the retry budget is exhausted.
	spent []model.TargetID
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
	first := h.newAttemptDelivery(firstAttempt)
	first.onOverdue = func() { signal(overdue) }
	h.tried.Add(choice.Candidate.Target.ID)
	h.start(first, firstAttempt, func(*hedgeResult) *verdict.Error { return h.acceptor.runAttempt(ctx, h.rq, choice, openGate{}, first) })
	started := time.Now()
	baseline := baselineOrDefault(h.acceptor.attemptDurations.of(h.rq.head.Route), h.rq.objective())
	overdueTimer := time.NewTimer(hedgeDelay(baseline))
	defer overdueTimer.Stop()
	defer h.nextAttempt.stop()
	shutdown := h.acceptor.cutoff.announced
	running := 1
	var best *hedgeResult
	for {
		select {
		case <-overdueTimer.C:
			signal(overdue)
		case <-shutdown:
			shutdown = nil
			h.expectStop(hedgeDelayBeforeCutoff(baseline, time.Since(started), h.acceptor.cutoff.remaining()))
		case in := <-h.cutOff:
			h.expectStop(hedgeDelayBeforeNodeEnds(baseline, in))
		case <-h.nextAttempt.channel():
			h.nextAttempt.stop()
			// Targets may have become free since another attempt was refused.
			h.hedged = false
			signal(overdue)
		case <-overdue:
			if running > 1 || h.hedged || h.extraAttempts >= h.maxExtraAttempts {
				continue
			}
			if !h.takeHedgeBudget() {
				h.retryIfStopping()
				continue
			}
			h.hedged = true
			running++
			h.extraAttempts++
			h.startNextAttempt(ctx)
		case r := <-h.results:
			running--
			h.recordExtraAttempt(&r)
			h.retryIfStopping()
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

// expectStop makes another attempt after the delay because a node stops.
func (h *hedge) expectStop(delay time.Duration) {
	h.stopping = true
	h.nextAttempt.fireWithin(delay)
}

// retryIfStopping makes one more attempt later if a node stops: an attempt was refused, could not be made or has ended.
func (h *hedge) retryIfStopping() {
	if h.stopping {
		h.nextAttempt.fireWithin(refusedHedgeInterval)
	}
}

// recordExtraAttempt records the result of an attempt after the first.
func (h *hedge) recordExtraAttempt(r *hedgeResult) {
	switch {
	case r.number == firstAttempt:
	case r.wasRefused():
		h.extraAttempts--
		h.recordSpent(r.spent)
	default:
		h.tried.Add(r.target)
	}
}

// recordSpent leaves the targets out of the next attempt. If no others are known, all may be tried again.
func (h *hedge) recordSpent(targets []model.TargetID) {
	if len(targets) == 0 {
		h.spent = nil
		return
	}
	h.spent = append(h.spent, targets...)
}

// excluded returns the targets that the next attempt leaves out.
func (h *hedge) excluded() *routing.Tried {
	excluded := h.tried.Clone()
	for _, id := range h.spent {
		excluded.Add(id)
	}
	return excluded
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
	onOverdue, onCutOff, mayCommit := h.out.onOverdue, h.out.onCutOff, h.out.mayCommit
	*h.out = *r.out
	h.out.onOverdue, h.out.onCutOff, h.out.mayCommit = onOverdue, onCutOff, mayCommit
	return r.err
}

// newAttemptDelivery returns the delivery of one attempt. Once one attempt has started to send its response, the other
// attempt can no longer send its own.
func (h *hedge) newAttemptDelivery(number int32) *delivery {
	d := newDelivery(h.out.next, h.out.bufferLimit)
	d.unmodifiedHead = h.out.unmodifiedHead
	d.isAdditional, d.replacesCutRun = h.out.isAdditional, h.out.replacesCutRun
	d.onCutOff = func(in time.Duration) { h.reportCutOff(number, in) }
	d.mayCommit = func() bool { return h.claim(number) }
	return d
}

// reportCutOff receives the notice that the admitting node of an attempt stops.
func (h *hedge) reportCutOff(number int32, in time.Duration) {
	a := h.acceptor
	a.log.Emit(events.RunWillBeCutOff, events.RequestField(h.rq.head.RequestId), events.CountField(int(number)), events.LimitField(in))
	select {
	case h.cutOff <- in:
	default:
	}
}

// takeHedgeBudget takes a retry from the budget for the second attempt. It returns false if a response is already being
// sent, if no other target or no time remains, or if the budget is exhausted.
func (h *hedge) takeHedgeBudget() bool {
	if h.winner.Load() != 0 {
		return false
	}
	a := h.acceptor
	if !h.hasOtherTarget(a.view.Load().Service(h.rq.service)) {
		return false
	}
	if h.rq.remaining() <= 0 || !h.budget.take(a.clock.now()) {
		return false
	}
	a.metrics.Retried(verdict.UpstreamTimeout)
	a.log.Emit(events.RequestHedged, events.RequestField(h.rq.head.RequestId), events.ServiceField(h.rq.service))
	return true
}

// hasOtherTarget reports whether the service has a target that has not admitted an attempt. The targets that have may have left.
func (h *hedge) hasOtherTarget(service *core.ServiceView) bool {
	if service == nil {
		return false
	}
	for candidate := range service.Pool.All {
		if !h.tried.Has(candidate.Target.ID) {
			return true
		}
	}
	return false
}

// start runs an attempt in the background and sends its result. A panic ends only the attempt: its request may have run.
func (h *hedge) start(out *delivery, number int32, attempt func(*hedgeResult) *verdict.Error) {
	go func() {
		result := hedgeResult{number: number, out: out}
		defer func() { h.results <- result }()
		defer func() {
			if cause := recover(); cause != nil {
				logPanic(h.acceptor.log, "attempt", cause)
				result.err = verdict.Uncertain(verdict.NodeLost, nil)
			}
		}()
		result.err = attempt(&result)
	}()
}

// startNextAttempt tries the other targets until one admits the request. It also waits in their queues: at high load no
// slot is free, and the first run may hang until the deadline.
func (h *hedge) startNextAttempt(ctx context.Context) {
	h.attempts++
	out := h.newAttemptDelivery(h.attempts)
	out.isAdditional, out.replacesCutRun = true, out.replacesCutRun || h.stopping
	excluded := h.excluded()
	h.start(out, h.attempts, func(r *hedgeResult) *verdict.Error { return h.tryOtherTargets(ctx, excluded, r) })
}

// tryOtherTargets tries the targets of a new plan until one of them runs or may have run the request. Only if a node stops, it
// goes on to the last resort.
func (h *hedge) tryOtherTargets(ctx context.Context, excluded *routing.Tried, r *hedgeResult) *verdict.Error {
	a, out := h.acceptor, r.out
	plan := a.newPlan(h.rq, a.view.Load().Service(h.rq.service), excluded)
	for {
		choice, ok := plan.Next()
		if !ok || choice.Mode == placement.LastResort && !out.replacesCutRun {
			return verdict.Refused(verdict.NoTarget, nil)
		}
		r.target = choice.Candidate.Target.ID
		err := a.runAttempt(ctx, h.rq, choice, openGate{}, out)
		if err != nil && retry.IsStaleRefusal(err.Reason) {
			err = a.runAttempt(ctx, h.rq, choice, openGate{}, out)
		}
		if err == nil || err.Verdict != verdict.NotRun || access.IsRefusal(err.Reason) {
			return err
		}
		if err.Reason == verdict.RepeatsSpent {
			r.spent = append(r.spent, r.target)
		}
		plan.RecordRefusal(placementRefusal(err))
	}
}
