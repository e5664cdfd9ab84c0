package node

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/placement"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

func endedBeforeDispatch(ctx context.Context) *verdict.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Refused(verdict.DeadlineExceeded, ctx.Err())
	}
	return verdict.Refused(verdict.CallerGone, ctx.Err())
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
	head.Repeat = out.repeat
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
		a.noteLoad(c, trailer.Load)
		err = conclude(rq, trailer, out)
	}
	if err == nil {
		a.sizes.add(rq.head.Route, out.received)
		a.times.add(rq.head.Route, time.Since(started))
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
	return a.link.consume
}

// noteLoad takes in what the admitting node said of the target's load.
func (a *acceptor) noteLoad(c *routing.Candidate, load *peerv1.TargetLoad) {
	if load == nil {
		return
	}
	c.Load.Reported.Store(load.InFlight)
	if model.Phase(load.Phase) != model.PhaseReady {
		return
	}
	c.Load.Learn(model.TargetLoad{
		Free: freeSlots(int(load.Slots), int(load.InFlight), int(load.Queued)), Doubt: int(load.Doubt),
		Wait: time.Duration(load.WaitMs) * time.Millisecond, At: a.clock.now(),
	})
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
