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

// maxRunners is the number of attempts of one request that run at a time.
const maxRunners = 2

// hedge runs an idempotent request at one target and, when that takes much longer than usual, at a second one beside it.
// The first whole answer counts and ends the other attempt. The load that it answers is a target that hangs: giving up the
// first run before another target has taken the request would lose requests that are merely slow.
type hedge struct {
	acceptor *acceptor
	rq       *request
	budget   *lockedBudget
	out      *delivery
	// winner is the number of the attempt that may pass its answer on, 0 while there is none.
	winner  atomic.Int32
	results chan hedgeResult
	// extra is the number of attempts beyond the first that a target has taken or may still take. Only run uses it.
	extra int
	// hedged means that the second attempt was begun. Only run uses it.
	hedged bool
}

// hedgeResult is the end of one attempt.
type hedgeResult struct {
	number int32
	out    *delivery
	err    *verdict.Error
}

// failed reports whether the other attempt may do better.
func (r *hedgeResult) failed() bool { return r.err != nil || r.out.status() >= firstServerError }

// wasRefused reports whether no target has taken the request.
func (r *hedgeResult) wasRefused() bool { return r.err != nil && r.err.Verdict == verdict.NotRun }

// firstServerError is the first status by which an upstream says that it failed.
const firstServerError = 500

// run returns the outcome of the request; its answer is in h.out.
func (h *hedge) run(ctx context.Context, choice placement.Choice) *verdict.Error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	overdue := make(chan struct{}, 1)
	first := h.delivery(1)
	first.overdue = func() { notify(overdue) }
	go func() {
		err := h.acceptor.attempt(ctx, h.rq, choice, openGate{}, first)
		h.results <- hedgeResult{number: 1, out: first, err: err}
	}()
	silent := time.NewTimer(overdueLimit(h.acceptor.times.of(h.rq.head.Route), h.rq.objective()))
	defer silent.Stop()
	running := 1
	var best *hedgeResult
	for {
		select {
		case <-silent.C:
			notify(overdue)
		case <-overdue:
			if running == 1 && !h.hedged && h.mayHedge() {
				h.hedged = true
				running++
				h.extra = 1
				go h.second(ctx, choice)
			}
		case r := <-h.results:
			running--
			if r.number != 1 && r.wasRefused() {
				h.extra = 0
			}
			best = better(best, &r)
			if running == 0 || !best.failed() {
				return h.conclude(best)
			}
		}
	}
}

func notify(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// better returns the result to go on with. An answer of an upstream goes before an outcome without one, and an attempt
// that may have run before one that did not.
func better(a, b *hedgeResult) *hedgeResult {
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

// conclude moves the answer of the result to the delivery of the request.
func (h *hedge) conclude(r *hedgeResult) *verdict.Error {
	overdue, mayCommit := h.out.overdue, h.out.mayCommit
	*h.out = *r.out
	h.out.overdue, h.out.mayCommit = overdue, mayCommit
	return r.err
}

// delivery returns the delivery of one attempt. The first that passes a part of its answer on keeps the others from it.
func (h *hedge) delivery(number int32) *delivery {
	d := newDelivery(h.out.next, h.out.limit)
	d.asIs = h.out.asIs
	d.repeat = h.out.repeat
	d.mayCommit = func() bool { return h.winner.CompareAndSwap(0, number) || h.winner.Load() == number }
	return d
}

// mayHedge draws a retry for the second attempt if there is another target for it.
func (h *hedge) mayHedge() bool {
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

// second offers the request to the other targets until one takes it. It waits in their queues too: at high load no slot is
// free, and the first run may hang until the deadline.
func (h *hedge) second(ctx context.Context, first placement.Choice) {
	var tried routing.Tried
	tried.Add(first.Candidate.Target.ID)
	out := h.delivery(2)
	out.repeat = true
	err := h.offer(ctx, &tried, out)
	h.results <- hedgeResult{number: 2, out: out, err: err}
}

func (h *hedge) offer(ctx context.Context, tried *routing.Tried, out *delivery) *verdict.Error {
	a := h.acceptor
	plan := a.planOf(h.rq, a.view.Load().Service(h.rq.service), tried)
	for {
		choice, ok := plan.Next()
		if !ok || choice.Mode == placement.LastResort {
			return verdict.Refused(verdict.NoTarget, nil)
		}
		err := a.attempt(ctx, h.rq, choice, openGate{}, out)
		if err == nil || err.Verdict != verdict.NotRun {
			return err
		}
		plan.RecordRefusal(refusalOf(err))
	}
}
