package node

import (
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/placement"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// newPlan returns the order in which the targets that were not tried yet are to be tried.
func (a *acceptor) newPlan(rq *request, service *core.ServiceView, tried *routing.Tried) *placement.Plan {
	var pool *routing.Pool
	if service != nil {
		pool = service.Pool
	}
	return placement.New(pool, tried, placement.Request{
		Idempotent: rq.idempotent(), Objective: rq.objective(), Bytes: int64(len(rq.body)) + a.answerSizes.of(rq.head.Route),
	}, a.clock.now(), rq.rng)
}

// placementRefusal returns the target state that an admission point reported with its refusal.
func placementRefusal(err *verdict.Error) placement.Refusal {
	switch err.Reason {
	case verdict.SlotsFull:
		return placement.Refusal{Full: true, Free: err.FreeSlots, Wait: err.ExpectedWait, RequiredSuccesses: err.RequiredSuccesses}
	case verdict.TargetDoubtful:
		return placement.Refusal{Wait: err.ExpectedWait, RequiredSuccesses: err.RequiredSuccesses}
	}
	return placement.Refusal{}
}

// pickTarget returns the target of the next attempt.
func (a *acceptor) pickTarget(rq *request, service *core.ServiceView, plan *placement.Plan, tried *routing.Tried) (placement.Choice, *verdict.Error) {
	if service == nil {
		return placement.Choice{}, verdict.Refused(verdict.NoTarget, nil)
	}
	if trial := a.pickTrialTarget(rq, service, tried); trial != nil {
		tried.Add(trial.Target.ID)
		return placement.Choice{Candidate: trial, Mode: placement.Queue}, nil
	}
	choice, ok := plan.Next()
	if !ok {
		return choice, verdict.Refused(verdict.NoTarget, nil)
	}
	if choice.Candidate.Distance == routing.OtherRegion && !a.regionLink.allows(rq.head.Bulk) {
		a.log.Emit(events.LinkBudgetSpent, events.RegionField(choice.Candidate.Node.Region))
		return choice, verdict.Refused(verdict.LinkBudget, nil)
	}
	return choice, nil
}

// requestsPerTrial is the mean number of eligible idempotent requests of which one is sent to a target in trial.
const requestsPerTrial = 8

// pickTrialTarget returns a target in trial for a random one in requestsPerTrial first attempts that can be retried
// elsewhere, and nil for the others.
func (a *acceptor) pickTrialTarget(rq *request, service *core.ServiceView, tried *routing.Tried) *routing.Candidate {
	if len(service.TrialCandidates) == 0 || !rq.idempotent() || !tried.Empty() || rq.rng.IntN(requestsPerTrial) != 0 {
		return nil
	}
	c := service.TrialCandidates[rq.rng.IntN(len(service.TrialCandidates))]
	if c.Distance == routing.OtherRegion {
		return nil
	}
	return c
}
