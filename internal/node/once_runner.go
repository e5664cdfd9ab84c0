package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/once"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

const (
	// recordTimeout bounds the write of an outcome before the caller gets its answer. A write that takes longer is
	// tried again later.
	recordTimeout = 2 * time.Second
	// operationPause is the time between two questions to the holder of a claim.
	operationPause = 100 * time.Millisecond
	// holderGiveUp is how long the holder of a claim may give no answer before it counts as lost.
	holderGiveUp = 10 * time.Second
)

// onceRunner runs non-idempotent requests, each at most once: under a claim in the store, or under a ticket that one
// node has issued.
type onceRunner struct {
	acceptor *acceptor
	claims   *once.Claims
	// nodeOf returns a node as the fleet knows it, false if it is not known.
	nodeOf func(model.NodeID) (model.Node, bool)

	mu      sync.Mutex
	tickets *once.Tickets
}

// serve answers a non-idempotent request.
func (o *onceRunner) serve(r *http.Request, rq *request, out *delivery) *verdict.Error {
	key, ticket := r.Header.Get(headerKey), r.Header.Get(headerTicket)
	if r.Context().Err() != nil {
		return verdict.Refused(verdict.CallerGone, r.Context().Err())
	}
	// A request that was dispatched goes on when its caller is gone: its outcome is recorded for the resend.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), rq.deadline)
	defer cancel()
	switch {
	case ticket != "":
		return o.serveWithTicket(ctx, rq, ticket, out)
	case key == "":
		return verdict.Refused(verdict.KeyMissing, nil)
	case !validKey(key):
		return verdict.Refused(verdict.KeyInvalid, errors.Errorf("use 1 to %d printable characters", maxKeyBytes))
	}
	return o.serveWithKey(ctx, rq, key, out)
}

// serveWithKey runs the request under a claim.
func (o *onceRunner) serveWithKey(ctx context.Context, rq *request, key string, out *delivery) *verdict.Error {
	result, err := o.claims.Begin(ctx, rq.service, key, rq.fingerprint)
	for {
		switch {
		case err != nil:
			return err
		case result.Grant != nil:
			return o.runClaimed(ctx, rq, result.Grant, out)
		case result.Replay != nil:
			return commitError(replay(out.next, result.Replay.Answer, replayedHeaders()...))
		}
		result, err = o.awaitHolder(ctx, result.Running)
	}
}

func replayedHeaders() []*peerv1.Header {
	return []*peerv1.Header{{Name: headerReplayed, Value: "1"}}
}

// runClaimed runs the request under a claim of this node and records the outcome before the caller gets it.
func (o *onceRunner) runClaimed(ctx context.Context, rq *request, grant *once.Grant, out *delivery) *verdict.Error {
	err := o.acceptor.attempts(ctx, rq, &grantGate{grant: grant}, out)
	record, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	var recordErr error
	switch {
	case err == nil:
		recordErr = grant.Record(record, out.recordable())
	case err.Verdict == verdict.NotRun:
		recordErr = grant.Release(record)
	default:
		recordErr = grant.RecordUncertain(record, err.Reason)
	}
	if recordErr != nil {
		o.acceptor.log.Emit(events.ClaimOutcomeUnwritten, events.ServiceField(rq.service), events.CauseField(recordErr))
	}
	if err != nil {
		return err
	}
	return commitError(out.commit())
}

// grantGate makes each dispatch ask the claim.
type grantGate struct {
	grant *once.Grant
}

func (g *grantGate) open() bool { return g.grant.BeginDispatch() }

func (g *grantGate) notRun() { g.grant.RecordNotRun() }

// awaitHolder asks the holder of a claim until the request has an outcome.
func (o *onceRunner) awaitHolder(ctx context.Context, running *once.Running) (once.Result, *verdict.Error) {
	heard := time.Now()
	for {
		op, ok, lost := o.ask(ctx, running)
		switch {
		case lost:
			return once.Result{}, o.abandon(ctx, running)
		case !ok && time.Since(heard) > holderGiveUp:
			return once.Result{}, verdict.Uncertain(verdict.ClaimHolderLost, errors.New("the holder of the claim does not answer"))
		case ok:
			heard = time.Now()
			if result, err, done := o.concludeOperation(ctx, running, op); done {
				return result, err
			}
		}
		if sleep(ctx, operationPause) != nil {
			return once.Result{}, verdict.Uncertain(verdict.ClaimRunning, ctx.Err())
		}
	}
}

// ask returns what the holder knows. lost means that the incarnation that made the claim is gone.
func (o *onceRunner) ask(ctx context.Context, running *once.Running) (op once.Operation, ok, lost bool) {
	if running.Local {
		return o.claims.Operation(running.Claim), true, false
	}
	holder, known := o.nodeOf(running.Node)
	if !known {
		return op, false, false
	}
	if holder.Incarnation > running.Incarnation {
		return op, false, true
	}
	res, err := o.acceptor.peers.Operation(ctx, holder.PeerAddress, &peerv1.OperationRequest{
		Service: string(running.Service), KeyHash: running.KeyHash, Claim: string(running.Claim),
	})
	if err != nil {
		return op, false, false
	}
	return operationFromWire(res), true, false
}

// concludeOperation turns the holder's answer into a result; done is false while the request runs.
func (o *onceRunner) concludeOperation(ctx context.Context, running *once.Running, op once.Operation) (result once.Result, err *verdict.Error, done bool) {
	switch op.State {
	case once.StateRunning:
		return result, nil, false
	case once.StateNotRun:
		result, err = o.claims.TakeOver(ctx, running)
		return result, err, true
	case once.StateAnswered:
		return once.Result{Replay: &once.Replay{Answer: op.Answer}}, nil, true
	case once.StateMayHaveRun:
		return result, verdict.Uncertain(op.Reason, nil), true
	}
	return result, o.abandon(ctx, running), true
}

// abandon settles a claim whose holder can no longer tell the outcome.
func (o *onceRunner) abandon(ctx context.Context, running *once.Running) *verdict.Error {
	if err := o.claims.MarkHolderLost(ctx, running); err != nil {
		o.acceptor.log.Emit(events.ClaimOutcomeUnwritten, events.ServiceField(running.Service), events.CauseField(err))
	}
	return verdict.Uncertain(verdict.ClaimHolderLost, nil)
}
