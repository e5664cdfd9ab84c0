package node

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/peer"
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
	in := retry.Input{
		Class: rq.class, RetryStatuses: a.retryStatusesOf(rq.match.Route), MaxAttempts: rq.match.Route.MaxAttempts,
		Attempt: 1, Hops: 1,
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
			return overall(a.giveUp(err, decision), uncertain)
		}
		if err == nil {
			uncertain = verdict.Uncertain(verdict.UpstreamStatus, nil)
		}
		if err := a.prepareRetry(ctx, rq, choice.Candidate, &tried, decision); err != nil {
			return overall(err, uncertain)
		}
		if !decision.Hop || decision.SameTarget {
			plan = nil
		}
		in = in.Next(decision)
	}
}

// planOf returns the order in which the request is offered to the targets that were not tried.
func (a *acceptor) planOf(rq *request, service *core.ServiceView, tried *routing.Tried) *placement.Plan {
	var pool *routing.Pool
	if service != nil {
		pool = service.Pool
	}
	return placement.New(pool, tried, rq.idempotent(), rq.objective(), rq.rng)
}

// refusalOf returns what an admission point said about its target.
func refusalOf(err *verdict.Error) placement.Refusal {
	switch err.Reason {
	case verdict.SlotsFull, verdict.TargetDoubtful:
		return placement.Refusal{Full: err.Reason == verdict.SlotsFull, Wait: err.Wait, Doubt: err.Doubt}
	}
	return placement.Refusal{}
}

// retryStatusesOf returns the statuses of the route's answers that are retried.
func (a *acceptor) retryStatusesOf(route *declaration.Route) []int {
	if len(route.RetryStatuses) > 0 {
		return route.RetryStatuses
	}
	return a.retryStatuses
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
	if decision.Hop {
		return nil
	}
	if !decision.Waits {
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

func endedBeforeDispatch(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Refused(verdict.DeadlineExceeded, ctx.Err())
	}
	return verdict.Refused(verdict.CallerGone, ctx.Err())
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
	if len(service.Trials) == 0 || !rq.idempotent() || !tried.Empty() || rq.rng.IntN(trialShare) != 0 {
		return nil
	}
	c := service.Trials[rq.rng.IntN(len(service.Trials))]
	if c.Distance == routing.OtherRegion {
		return nil
	}
	return c
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
	if !rq.idempotent() || !in.MayRepeat() {
		return a.attempt(ctx, rq, choice, g, out)
	}
	h := &hedge{acceptor: a, rq: rq, budget: budget, out: out, results: make(chan hedgeResult, maxRunners)}
	err := h.run(ctx, choice)
	in.Attempt += h.extra
	return err
}

// maxOfferBytes is the size up to which a body goes along when a target in another failure domain is asked for a free slot.
// A larger one follows when the target has taken the request, because refusals would waste bytes that are paid for.
const maxOfferBytes = 512

// attempt runs the request at one target. The answer is whole if there is no error.
func (a *acceptor) attempt(ctx context.Context, rq *request, choice placement.Choice, g gate, out *delivery) *verdict.Error {
	c := choice.Candidate
	head := proto.Clone(rq.head).(*peerv1.ForwardHead)
	head.Attempt = string(a.nextAttempt())
	head.Target = string(c.Target.ID)
	head.AcceptingNode = string(a.self.ID)
	head.TimeoutMs = rq.remaining().Milliseconds()
	head.ObjectiveMs = rq.match.Route.ObjectiveMS
	head.ObjectiveLeftMs = (rq.objective() - time.Since(rq.started)).Milliseconds()
	head.IdleOnly = choice.Mode != placement.Queue
	head.LastResort = choice.Mode == placement.LastResort
	head.ReportOverdue = out.overdue != nil
	head.TrustedOnly = out.overdue == nil
	head.BodyOnAdmission = head.IdleOnly && c.Distance != routing.SameDomain && len(rq.body) > maxOfferBytes
	// A route with an objective is hedged instead, which ends no run before another one has answered.
	if rq.idempotent() && head.ObjectiveMs == 0 {
		head.ProgressTimeoutMs = progressTimeout(rq.head.FirstByteMs, head.TimeoutMs, c.Target.FirstByte).Milliseconds()
	}
	out.restart(head.Attempt, a.crossBytes(c))
	if head.TimeoutMs <= 0 || ctx.Err() != nil || !g.open() {
		return endedOrLate(ctx)
	}
	started := time.Now()
	c.Load.Own.Add(1)
	trailer, err := a.dispatch(ctx, rq, c, head, out)
	c.Load.Own.Add(-1)
	if err == nil {
		noteLoad(c, trailer.Load)
		err = conclude(rq, trailer, out)
	}
	a.logAttempt(rq, choice, head, trailer, err, time.Since(started))
	if err != nil && err.Verdict == verdict.NotRun {
		g.notRun()
	}
	return err
}

// logAttempt logs the end of an attempt with what the admitting node knew.
func (a *acceptor) logAttempt(rq *request, choice placement.Choice, head *peerv1.ForwardHead, trailer *peerv1.AnswerTrailer, err *verdict.Error, took time.Duration) {
	outcome := verdict.Ran.String()
	wait := time.Duration(trailer.GetWaitedMs()) * time.Millisecond
	doubt := 0
	if err != nil {
		outcome = string(err.Reason)
		wait, doubt = max(wait, err.Wait), err.Doubt
	}
	a.log.Emit(events.AttemptEnded, events.RequestField(rq.head.RequestId), events.AttemptField(model.AttemptID(head.Attempt)),
		events.TargetField(choice.Candidate.Target.ID), events.RouteField(head.Route), events.ModeField(choice.Mode.String()),
		events.TextOutcomeField(outcome), events.WaitField(wait), events.DurationField(took), events.DoubtField(doubt),
		events.RevisionField(a.view.Load().Revision))
}

// slowFactor is how many times its usual time to the first byte a target may take before half of the remaining time is
// given to another target.
const slowFactor = 10

// progressTimeout returns the time without progress after which an idempotent attempt is given up. It is the route's
// time to the first byte. Where that would leave no time for another attempt, it is half of the remaining time, if that
// is still many times what the target usually takes.
func progressTimeout(firstByteMS, remainingMS int64, usual time.Duration) time.Duration {
	limit := time.Duration(firstByteMS) * time.Millisecond
	half := time.Duration(remainingMS) * time.Millisecond / 2
	if half >= limit || usual <= 0 || half < slowFactor*usual {
		return limit
	}
	return half
}

func endedOrLate(ctx context.Context) *verdict.Error {
	if ctx.Err() != nil {
		return endedBeforeDispatch(ctx)
	}
	return verdict.Refused(verdict.DeadlineExceeded, nil)
}

// crossBytes returns where to count the bytes of an answer that crosses a link between regions.
func (a *acceptor) crossBytes(c *routing.Candidate) func(int) {
	if c.Distance != routing.OtherRegion || a.link == nil {
		return nil
	}
	return a.link.spend
}

func noteLoad(c *routing.Candidate, load *peerv1.TargetLoad) {
	if load != nil {
		c.Load.Reported.Store(load.InFlight)
	}
}

// dispatch sends the attempt to the admitting node. It returns a trailer, or an outcome if there is none.
func (a *acceptor) dispatch(ctx context.Context, rq *request, c *routing.Candidate, head *peerv1.ForwardHead, out *delivery) (*peerv1.AnswerTrailer, *verdict.Error) {
	if c.Node.ID == a.self.ID {
		return a.localForward(ctx, head, rq.body, out), nil
	}
	if refusal := a.beginRemote(ctx, head); refusal != nil {
		return nil, refusal
	}
	trailer, err := a.peers.Forward(ctx, c.Node.PeerAddress, head, rq.body, out)
	a.endRemote(head, trailer)
	if err == nil {
		a.pathWorked(c.Node.ID)
		a.forgetOldIncarnation(c.Node.PeerAddress, trailer)
		return trailer, nil
	}
	return a.forwardFailed(ctx, rq, c, head, err, out)
}

// beginRemote asks the quarantine whether the request may run at a target beside another node. Both nodes ask, so that a
// request that crashes upstreams is stopped also while the store, by which nodes tell each other, is down.
func (a *acceptor) beginRemote(ctx context.Context, head *peerv1.ForwardHead) *verdict.Error {
	if err := a.admitter.crashes.await(ctx, head); err != nil {
		return err
	}
	return a.admitter.crashes.begin(head)
}

func (a *acceptor) endRemote(head *peerv1.ForwardHead, trailer *peerv1.AnswerTrailer) {
	if trailer.GetLossSerial() != 0 {
		a.admitter.crashes.lostElsewhere(head, trailer.LossSerial)
		return
	}
	a.admitter.crashes.finish(head, verdict.Verdict(trailer.GetVerdict()) == verdict.Ran)
}

// forgetOldIncarnation drops the session of a peer that has restarted, so that the next attempt begins with Hello.
func (a *acceptor) forgetOldIncarnation(address string, trailer *peerv1.AnswerTrailer) {
	switch verdict.Reason(trailer.Reason) {
	case verdict.WrongIncarnation, verdict.AdmitExpired:
		a.peers.Forget(address)
	}
}

func (a *acceptor) pathWorked(id model.NodeID) {
	if a.paths.worked(id) {
		a.log.Emit(events.PathRestored, events.NodeField(id))
		a.pathChanged()
	}
}

func (a *acceptor) pathFailed(node model.Node, cause error) {
	if a.paths.failed(a.clock.now(), node) {
		a.log.Emit(events.PathAvoided, events.NodeField(node.ID), events.CauseField(cause))
		a.pathChanged()
	}
}

// forwardFailed finds out what became of an attempt whose connection failed.
func (a *acceptor) forwardFailed(ctx context.Context, rq *request, c *routing.Candidate, head *peerv1.ForwardHead, err error, out *delivery) (*peerv1.AnswerTrailer, *verdict.Error) {
	var failed *peer.ForwardError
	if !errors.As(err, &failed) {
		return nil, verdict.Uncertain(verdict.NodeLost, err)
	}
	cancelled := ctx.Err() != nil
	if !failed.Sent {
		if cancelled {
			return nil, endedBeforeDispatch(ctx)
		}
		a.pathFailed(c.Node, err)
		return nil, verdict.Refused(verdict.NodeUnreachable, err)
	}
	if cancelled {
		return nil, endedAfterDispatch(ctx)
	}
	if failed.Silent {
		a.log.Emit(events.ConnectionSilent, events.NodeField(c.Node.ID), events.AddressField(c.Node.PeerAddress))
	}
	if rq.idempotent() {
		// The new connection that the path is tried with tells a silent connection from a lost node.
		if _, helloErr := a.peers.Hello(ctx, c.Node.PeerAddress); helloErr != nil {
			a.pathFailed(c.Node, helloErr)
		}
		return nil, verdict.Uncertain(verdict.NodeLost, err)
	}
	return a.lookup(ctx, c, head, failed, out)
}

func endedAfterDispatch(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Uncertain(verdict.UpstreamTimeout, ctx.Err())
	}
	return verdict.Uncertain(verdict.CallerCancelled, ctx.Err())
}

// conclude returns the outcome that a trailer tells, nil for a whole answer.
func conclude(rq *request, trailer *peerv1.AnswerTrailer, out *delivery) *verdict.Error {
	v := verdict.Verdict(trailer.Verdict)
	if v == verdict.Ran {
		return out.checkWhole(rq.head.Method == "HEAD", trailer)
	}
	e := &verdict.Error{
		Verdict:    verdict.MayHaveRun,
		Reason:     verdict.Reason(trailer.Reason),
		RetryAfter: time.Duration(trailer.RetryAfterMs) * time.Millisecond,
	}
	if v == verdict.NotRun {
		e.Verdict = verdict.NotRun
	}
	if !slices.Contains(verdict.Reasons(), e.Reason) {
		e.Reason = verdict.NodeLost
	}
	if load := trailer.Load; load != nil {
		e.Doubt = int(load.Doubt)
		e.Wait = time.Duration(load.WaitMs) * time.Millisecond
	}
	if trailer.Detail != "" {
		e.Cause = errors.New(trailer.Detail)
	}
	return e
}
