package node

import (
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/placement"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// planOf returns the order in which the request is offered to the targets that were not tried.
func (a *acceptor) planOf(rq *request, service *core.ServiceView, tried *routing.Tried) *placement.Plan {
	var pool *routing.Pool
	if service != nil {
		pool = service.Pool
	}
	return placement.New(pool, tried, placement.Request{
		Idempotent: rq.idempotent(), Objective: rq.objective(), Bytes: int64(len(rq.body)) + a.sizes.of(rq.head.Route),
	}, a.clock.now(), rq.rng)
}

// refusalOf returns what an admission point said about its target.
func refusalOf(err *verdict.Error) placement.Refusal {
	switch err.Reason {
	case verdict.SlotsFull, verdict.TargetDoubtful:
		return placement.Refusal{Full: err.Reason == verdict.SlotsFull, Wait: err.ExpectedWait, RequiredSuccesses: err.RequiredSuccesses}
	}
	return placement.Refusal{}
}

// pick chooses a target for the next attempt.
func (a *acceptor) pick(rq *request, service *core.ServiceView, plan *placement.Plan, tried *routing.Tried) (placement.Choice, *verdict.Error) {
	if service == nil {
		return placement.Choice{}, verdict.Refused(verdict.NoTarget, nil)
	}
	if trial := a.pickTrial(rq, service, tried); trial != nil {
		tried.Add(trial.Target.ID)
		return placement.Choice{Candidate: trial, Mode: placement.Queue}, nil
	}
	choice, ok := plan.Next()
	if !ok {
		return choice, verdict.Refused(verdict.NoTarget, nil)
	}
	if choice.Candidate.Distance == routing.OtherRegion && !a.link.allows(rq.head.Bulk) {
		a.log.Emit(events.LinkBudgetSpent, events.RegionField(choice.Candidate.Node.Region))
		return choice, verdict.Refused(verdict.LinkBudget, nil)
	}
	return choice, nil
}

// trialShare is the number of idempotent requests of which one is offered to a target on trial.
const trialShare = 8

// pickTrial returns a target on trial now and then, for a first attempt that can be retried elsewhere.
func (a *acceptor) pickTrial(rq *request, service *core.ServiceView, tried *routing.Tried) *routing.Candidate {
	if len(service.TrialCandidates) == 0 || !rq.idempotent() || !tried.Empty() || rq.rng.IntN(trialShare) != 0 {
		return nil
	}
	c := service.TrialCandidates[rq.rng.IntN(len(service.TrialCandidates))]
	if c.Distance == routing.OtherRegion {
		return nil
	}
	return c
}
