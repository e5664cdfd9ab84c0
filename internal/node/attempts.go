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

// serveWithRetries tries the request at one target after another until it has a response or the retry decision ends the
// attempts. The response is left in out: complete, but perhaps not yet sent to the caller.
func (a *acceptor) serveWithRetries(ctx context.Context, rq *request, g gate, out *delivery) *verdict.Error {
	budget := a.budgets.of(rq.service, a.clock.now())
	budget.request(a.clock.now())
	var tried routing.Tried
	// uncertain is the outcome of the last attempt that ran or may have run. A later refusal does not override it.
	var uncertain *verdict.Error
	// fallback is the last complete response with a retryable status. It is sent if no later attempt gets a response.
	var fallback *delivery
	in := retry.Input{
		Class: rq.class, RetryStatuses: a.retryStatusesOf(rq.match.Route), MaxAttempts: rq.match.Route.MaxAttempts,
		Attempt: 1, Refusals: 1,
	}
	var plan *placement.Plan
	for {
		service := a.view.Load().Service(rq.service)
		if plan == nil {
			plan = a.newPlan(rq, service, &tried)
		}
		choice, err := a.pickTarget(rq, service, plan, &tried)
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
			plan.RecordRefusal(placementRefusal(err))
		}
		in.Err, in.Status, in.Remaining = err, out.status(), a.remaining(rq)
		in.RunWasCut = a.runWasCut(uncertain)
		in.UsualRun = a.attemptDurations.of(rq.head.Route)
		in.RetryAfter = retryAfterOf(out)
		in.Untried = plan.Remaining()
		in.Saturated = plan.Saturated()
		decision := budget.decide(in, a.clock.now(), rq.rng)
		if !decision.Retry {
			return finalOutcome(out, fallback, combinedOutcome(a.recordRetryLimit(err, decision), uncertain))
		}
		if err == nil {
			uncertain = verdict.Uncertain(verdict.UpstreamStatus, nil)
			fallback = out.clone()
		}
		if err := a.prepareRetry(ctx, rq, choice.Candidate, &tried, decision); err != nil {
			return finalOutcome(out, fallback, combinedOutcome(err, uncertain))
		}
		if !decision.TryNextTarget || decision.SameTarget {
			plan = nil
		}
		in = in.Next(decision)
		out.isAdditional, out.replacesCutRun = in.Attempt > 1, in.RunWasCut
	}
}

// remaining returns the time until the deadline of the request, or until this node ends its open requests if that is earlier.
func (a *acceptor) remaining(rq *request) time.Duration {
	if left := a.answerWithin(rq.deadline); left > 0 {
		return left
	}
	return rq.remaining()
}

// runWasCut reports whether the stop of a node has ended the run with the outcome, or leaves the request no other node.
func (a *acceptor) runWasCut(uncertain *verdict.Error) bool {
	if uncertain == nil {
		return false
	}
	_, stopping := a.cutoff.left()
	return stopping || uncertain.Reason == verdict.NodeLost
}

// retryStatusesOf returns the response statuses that are retried on the route.
func (a *acceptor) retryStatusesOf(route *declaration.Route) []int {
	if len(route.RetryStatuses) > 0 {
		return route.RetryStatuses
	}
	return a.retryStatuses
}

// finalOutcome returns the outcome of the request. It prefers the fallback response to an outcome without a response.
func finalOutcome(out, fallback *delivery, err *verdict.Error) *verdict.Error {
	if err == nil || fallback == nil {
		return err
	}
	*out = *fallback
	return nil
}

// combinedOutcome returns the outcome over all attempts: the request may have run if any of its attempts may have run.
func combinedOutcome(last, uncertain *verdict.Error) *verdict.Error {
	if last == nil || last.Verdict != verdict.NotRun || uncertain == nil {
		return last
	}
	return uncertain
}

// recordRetryLimit counts and logs the limit that prevented another attempt. It returns err unchanged.
func (a *acceptor) recordRetryLimit(err *verdict.Error, decision retry.Decision) *verdict.Error {
	if decision.Reason == verdict.RetryBudget || decision.Reason == verdict.RetryAttempts {
		a.metrics.Refused(decision.Reason)
		a.log.Emit(events.ForReason(decision.Reason), events.OutcomeField(events.Refused))
	}
	return err
}

// prepareRetry counts the retry and waits for its backoff.
func (a *acceptor) prepareRetry(ctx context.Context, rq *request, target *routing.Candidate, tried *routing.Tried, decision retry.Decision) *verdict.Error {
	a.metrics.Retried(decision.Reason)
	a.log.Emit(events.ForReason(decision.Reason), events.OutcomeField(events.Retried), events.RequestField(rq.head.RequestId), events.ServiceField(rq.service))
	if decision.TryNextTarget {
		return nil
	}
	if !decision.WaitForCapacity {
		a.excludeFailedTarget(rq, target, tried)
	}
	return sleep(ctx, decision.After)
}

// excludeFailedTarget leaves the failed target out of the next plan, unless it is the only one. The service may have
// been removed while the request was running.
func (a *acceptor) excludeFailedTarget(rq *request, target *routing.Candidate, tried *routing.Tried) {
	tried.Clear()
	service := a.view.Load().Service(rq.service)
	if target != nil && service != nil && service.Pool.Len() > 1 {
		tried.Add(target.Target.ID)
	}
}

// sleep waits for d. It returns an error if the request ends earlier.
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

// retryAfterOf returns the delay of the Retry-After header of a complete response, 0 if it has none.
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

// attemptOrHedge runs the request at the chosen target. An idempotent request that takes too long is hedged: a second
// attempt runs in parallel at another target.
func (a *acceptor) attemptOrHedge(ctx context.Context, rq *request, choice placement.Choice, in *retry.Input, budget *lockedBudget, g gate, out *delivery) *verdict.Error {
	if !rq.idempotent() || !in.HasAttemptsLeft() {
		return a.runAttempt(ctx, rq, choice, g, out)
	}
	h := newHedge(a, rq, budget, in.AttemptsLeft(), out)
	err := h.run(ctx, choice)
	in.Attempt += h.extraAttempts
	return err
}
