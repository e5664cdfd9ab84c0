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

// maxBodyBytesBeforeAdmission is the largest body that is sent along with an admission request for a free slot in
// another failure domain. A larger body is sent after admission, because a refusal would waste paid traffic.
const maxBodyBytesBeforeAdmission = 512

// runAttempt runs the request at one target. The response in out is complete if there is no error.
func (a *acceptor) runAttempt(ctx context.Context, rq *request, choice placement.Choice, g gate, out *delivery) *verdict.Error {
	c := choice.Candidate
	if c.Node.ID != a.self.ID {
		// Before the time that this node has left is read: it may begin to stop in between.
		defer a.openAttempts.begin(c.Node.PeerAddress)()
	}
	head := proto.Clone(rq.head).(*peerv1.ForwardHead)
	head.Attempt = string(a.newAttemptID())
	head.Target = string(c.Target.ID)
	head.AcceptingNode = string(a.self.ID)
	head.TimeoutMs = rq.remaining().Milliseconds()
	head.ObjectiveMs = rq.match.Route.ObjectiveMS
	head.ObjectiveLeftMs = (rq.objective() - time.Since(rq.started)).Milliseconds()
	head.AnswerWithinMs = a.answerWithin(rq.deadline).Milliseconds()
	head.IdleOnly = choice.Mode != placement.Queue
	head.LastResort = choice.Mode == placement.LastResort
	head.ReportOverdue = out.onOverdue != nil
	head.TrustedOnly = out.onOverdue == nil
	head.Repeat = out.isAdditional
	head.ReplacesCutRun = out.isAdditional && (out.replacesCutRun || head.AnswerWithinMs > 0)
	head.BodyOnAdmission = head.IdleOnly && c.Distance != routing.SameDomain && len(rq.body) > maxBodyBytesBeforeAdmission
	// Routes with a latency objective have no progress timeout. They are hedged instead, and a hedge cancels no run
	// before another one has responded.
	if rq.idempotent() && head.ObjectiveMs == 0 {
		head.ProgressTimeoutMs = progressTimeout(rq.head.FirstByteMs, head.TimeoutMs, c.Target.FirstByte).Milliseconds()
	}
	out.reset(head.Attempt, a.crossRegionCounter(c))
	if refusal := a.renewAccess(rq, head); refusal != nil {
		a.logAttempt(rq, choice, head, nil, refusal, 0)
		return refusal
	}
	if head.TimeoutMs <= 0 || ctx.Err() != nil || !g.beginDispatch() {
		return endedOrExpired(ctx)
	}
	started := time.Now()
	c.Load.OwnInFlight.Add(1)
	trailer, err := a.dispatch(ctx, rq, c, head, out)
	c.Load.OwnInFlight.Add(-1)
	if err == nil {
		a.updateLoad(c, trailer.Load)
		err = trailerOutcome(rq, trailer, out)
	}
	if err == nil {
		a.answerSizes.add(rq.head.Route, out.receivedBytes)
		a.attemptDurations.add(rq.head.Route, time.Since(started))
	}
	a.logAttempt(rq, choice, head, trailer, err, time.Since(started))
	if err != nil && err.Verdict == verdict.NotRun {
		g.recordNotRun()
	}
	return err
}

// logAttempt logs the end of an attempt with the load that the admitting node reported.
func (a *acceptor) logAttempt(rq *request, choice placement.Choice, head *peerv1.ForwardHead, trailer *peerv1.AnswerTrailer, err *verdict.Error, took time.Duration) {
	outcome := verdict.Ran.String()
	wait := time.Duration(trailer.GetWaitedMs()) * time.Millisecond
	requiredSuccesses := 0
	if err != nil {
		outcome = string(err.Reason)
		wait, requiredSuccesses = max(wait, err.ExpectedWait), err.RequiredSuccesses
	}
	a.log.Emit(events.AttemptEnded, events.RequestField(rq.head.RequestId), events.AttemptField(model.AttemptID(head.Attempt)),
		events.TargetField(choice.Candidate.Target.ID), events.RouteField(head.Route), events.RankField(int(head.Rank)),
		events.RemainingField(rq.remaining()), events.CutoffField(a.cutoff.left()), events.ModeField(choice.Mode.String()),
		events.TextOutcomeField(outcome), events.WaitField(wait), events.DurationField(took), events.DoubtField(requiredSuccesses),
		events.RevisionField(a.view.Load().Revision), events.AccountField(model.AccountName(head.Account)),
		events.AccessField(accessName(head.Access)), events.AccessRevisionField(rq.access.decidedAt()))
}

// slowFactor is the smallest multiple of the baseline time to first byte after which an attempt may be aborted early,
// to leave half of the remaining time for another target.
const slowFactor = 10

// progressTimeout returns the time without progress after which an idempotent attempt is aborted. It is the first-byte
// timeout of the route. If that is more than half of the remaining time, it would leave too little time for another
// attempt. Then the result is half of the remaining time, provided that this is at least slowFactor times the baseline
// of the target.
func progressTimeout(firstByteMS, remainingMS int64, baseline time.Duration) time.Duration {
	limit := time.Duration(firstByteMS) * time.Millisecond
	half := time.Duration(remainingMS) * time.Millisecond / 2
	if half >= limit || baseline <= 0 || half < slowFactor*baseline {
		return limit
	}
	return half
}

func endedOrExpired(ctx context.Context) *verdict.Error {
	if ctx.Err() != nil {
		return endedBeforeDispatch(ctx)
	}
	return verdict.Refused(verdict.DeadlineExceeded, nil)
}

// crossRegionCounter returns the function that counts the bytes of a response received over a link between regions. It
// returns nil if the target is in this region or the link has no budget.
func (a *acceptor) crossRegionCounter(c *routing.Candidate) func(int) {
	if c.Distance != routing.OtherRegion || a.regionLink == nil {
		return nil
	}
	return a.regionLink.consume
}

// updateLoad applies the target load that the admitting node reported.
func (a *acceptor) updateLoad(c *routing.Candidate, load *peerv1.TargetLoad) {
	if load == nil {
		return
	}
	c.Load.ReportedInFlight.Store(load.InFlight)
	if model.Phase(load.Phase) != model.PhaseReady {
		return
	}
	c.Load.Update(model.TargetLoad{
		Free: freeSlots(int(load.Slots), int(load.InFlight), int(load.Queued)), RequiredSuccesses: int(load.Doubt),
		Wait: time.Duration(load.WaitMs) * time.Millisecond, At: a.clock.now(),
	})
}

// trailerOutcome returns the outcome reported by a trailer, nil for a complete response.
func trailerOutcome(rq *request, trailer *peerv1.AnswerTrailer, out *delivery) *verdict.Error {
	v := verdict.Verdict(trailer.Verdict)
	if v == verdict.Ran {
		return out.checkComplete(rq.head.Method == "HEAD", trailer)
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
		e.RequiredSuccesses = int(load.Doubt)
		e.ExpectedWait = time.Duration(load.WaitMs) * time.Millisecond
		e.FreeSlots = freeSlots(int(load.Slots), int(load.InFlight), int(load.Queued))
	}
	if trailer.Detail != "" {
		e.Cause = errors.New(trailer.Detail)
	}
	return e
}
