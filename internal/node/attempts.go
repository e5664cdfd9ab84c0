package node

import (
	"context"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/placement"
	"github.com/sardinereach/sardinereach/internal/retry"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/upstream"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// attempts tries the request at one target after the other until it is answered or the retry decision says stop. The
// answer is left in out, whole but perhaps not passed on yet.
func (a *acceptor) attempts(ctx context.Context, rq *request, g gate, out *delivery) *verdict.Error {
	budget := a.budgets.of(rq.service, a.clock.now())
	budget.request(a.clock.now())
	var tried routing.Tried
	// uncertain is the last outcome of an attempt that ran or may have run. A refusal of a later attempt does not undo it.
	var uncertain *verdict.Error
	// kept is the last whole answer with a status that is retried. It is passed on if no later attempt brings one.
	var kept *delivery
	in := retry.Input{
		Class: rq.class, RetryStatuses: a.retryStatusesOf(rq.match.Route), MaxAttempts: rq.match.Route.MaxAttempts,
		Attempt: 1, Refusals: 1,
	}
	var plan *placement.Plan
	for {
		service := a.view.Load().Service(rq.service)
		if plan == nil {
			plan = a.planOf(rq, service, &tried)
		}
		choice, err := a.pick(rq, service, plan, &tried)
		if err == nil {
			err = a.attemptOrHedge(ctx, rq, choice, &in, budget, g, out)
		}
		if out.committed {
			return err
		}
		if err != nil && err.Verdict != verdict.NotRun {
			uncertain = err
		}
		if err != nil {
			plan.Refused(refusalOf(err))
		}
		in.Err, in.Status, in.Remaining = err, out.status(), rq.remaining()
		in.RetryAfter = retryAfterOf(out)
		in.Untried = plan.Left()
		in.Saturated = plan.Saturated()
		decision := budget.decide(in, a.clock.now(), rq.rng)
		if !decision.Retry {
			return settle(out, kept, overall(a.giveUp(err, decision), uncertain))
		}
		if err == nil {
			uncertain = verdict.Uncertain(verdict.UpstreamStatus, nil)
			kept = out.clone()
		}
		if err := a.prepareRetry(ctx, rq, choice.Candidate, &tried, decision); err != nil {
			return settle(out, kept, overall(err, uncertain))
		}
		if !decision.TryNextTarget || decision.SameTarget {
			plan = nil
		}
		in = in.Next(decision)
		out.repeat = in.Attempt > 1
	}
}

// retryStatusesOf returns the statuses of the route's answers that are retried.
func (a *acceptor) retryStatusesOf(route *declaration.Route) []int {
	if len(route.RetryStatuses) > 0 {
		return route.RetryStatuses
	}
	return a.retryStatuses
}

// settle returns the outcome of the whole request. An answer that was kept goes before an outcome without one.
func settle(out, kept *delivery, err *verdict.Error) *verdict.Error {
	if err == nil || kept == nil {
		return err
	}
	*out = *kept
	return nil
}

// overall returns the outcome of the whole request: it may have run if any of its attempts may have run.
func overall(last, uncertain *verdict.Error) *verdict.Error {
	if last == nil || last.Verdict != verdict.NotRun || uncertain == nil {
		return last
	}
	return uncertain
}

// giveUp returns the outcome of the last attempt and counts the limit that prevented another one.
func (a *acceptor) giveUp(err *verdict.Error, decision retry.Decision) *verdict.Error {
	if decision.Reason == verdict.RetryBudget || decision.Reason == verdict.RetryAttempts {
		a.metrics.Refused(decision.Reason)
		a.log.Emit(events.ForReason(decision.Reason), events.OutcomeField(events.Refused))
	}
	return err
}

// prepareRetry counts the retry and waits for its time.
func (a *acceptor) prepareRetry(ctx context.Context, rq *request, target *routing.Candidate, tried *routing.Tried, decision retry.Decision) *verdict.Error {
	a.metrics.Retried(decision.Reason)
	a.log.Emit(events.ForReason(decision.Reason), events.OutcomeField(events.Retried), events.RequestField(rq.head.RequestId), events.ServiceField(rq.service))
	if decision.TryNextTarget {
		return nil
	}
	if !decision.WaitForCapacity {
		a.excludeTried(rq, target, tried)
	}
	return sleep(ctx, decision.After)
}

// excludeTried leaves the target that failed out of the next plan, unless it is the only one. The service may have been
// removed while the request was running.
func (a *acceptor) excludeTried(rq *request, target *routing.Candidate, tried *routing.Tried) {
	tried.Clear()
	service := a.view.Load().Service(rq.service)
	if target != nil && service != nil && service.Pool.Len() > 1 {
		tried.Add(target.Target.ID)
	}
}

// sleep waits, or returns why the request ended before.
func sleep(ctx context.Context, d time.Duration) *verdict.Error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return endedBeforeDispatch(ctx)
	}
}

// retryAfterOf returns the wait that a complete answer asks for.
func retryAfterOf(out *delivery) time.Duration {
	if out.head == nil {
		return 0
	}
	for _, h := range out.head.Headers {
		if h.Name == "Retry-After" {
			return upstream.ParseRetryAfter(h.Value, time.Now())
		}
	}
	return 0
}

// attemptOrHedge runs the request at the chosen target and, if that may be done twice and takes too long, at another one
// beside it.
func (a *acceptor) attemptOrHedge(ctx context.Context, rq *request, choice placement.Choice, in *retry.Input, budget *lockedBudget, g gate, out *delivery) *verdict.Error {
	if !rq.idempotent() || !in.HasAttemptsLeft() {
		return a.attempt(ctx, rq, choice, g, out)
	}
	h := &hedge{acceptor: a, rq: rq, budget: budget, out: out, results: make(chan hedgeResult, maxRunners)}
	err := h.run(ctx, choice)
	in.Attempt += h.extra
	return err
}
