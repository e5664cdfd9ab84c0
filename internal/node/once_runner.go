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
	// recordTimeout bounds the write of an outcome before the response is sent to the caller. A write that takes longer
	// is retried later.
	recordTimeout = 2 * time.Second
	// operationPollInterval is the time between two queries to the holder of a claim, or of the state of a ticket.
	operationPollInterval = 100 * time.Millisecond
	// holderUnreachableTimeout is how long the holder of a claim may be unreachable before it is treated as lost.
	holderUnreachableTimeout = 10 * time.Second
)

// onceRunner runs each non-idempotent request at most once, under a claim in the store or under a ticket that a node
// has issued.
type onceRunner struct {
	acceptor *acceptor
	claims   *once.Claims
	// nodeOf returns the member with the ID, false if the member table has none.
	nodeOf func(model.NodeID) (model.Node, bool)

	mu      sync.Mutex
	tickets *once.Tickets
}

// serve serves a non-idempotent request.
func (o *onceRunner) serve(r *http.Request, rq *request, out *delivery) *verdict.Error {
	key, ticket := r.Header.Get(headerKey), r.Header.Get(headerTicket)
	if r.Context().Err() != nil {
		return verdict.Refused(verdict.CallerGone, r.Context().Err())
	}
	// A dispatched request continues after its caller has disconnected: its outcome is recorded for a client retry. It ends at
	// the cutoff of a shutdown.
	ctx, release := o.acceptor.cutoff.bind(context.WithoutCancel(r.Context()), rq.deadline)
	defer release()
	ctx, cancel := context.WithDeadline(ctx, rq.deadline)
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
	result, err := o.claims.BeginFor(ctx, model.AccountName(rq.head.Account), rq.service, key, rq.operation)
	for {
		switch {
		case err != nil:
			return err
		case result.Grant != nil:
			return o.runWithClaim(ctx, rq, result.Grant, out)
		case result.Replay != nil:
			return commitError(replay(out.next, result.Replay.Answer, replayedHeaders()...))
		}
		result, err = o.awaitHolder(ctx, result.Running)
	}
}

func replayedHeaders() []*peerv1.Header {
	return []*peerv1.Header{{Name: headerReplayed, Value: "1"}}
}

// runWithClaim runs the request under a claim of this node. It records the outcome before it responds to the caller.
func (o *onceRunner) runWithClaim(ctx context.Context, rq *request, grant *once.Grant, out *delivery) *verdict.Error {
	err := cutoffOutcome(ctx, o.acceptor.serveWithRetries(ctx, rq, &grantGate{grant: grant}, out))
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	var recordErr error
	switch {
	case err == nil:
		recordErr = grant.Record(recordCtx, out.recordableAnswer())
	case err.Verdict == verdict.NotRun:
		recordErr = grant.Release(recordCtx)
	default:
		recordErr = grant.RecordUncertain(recordCtx, err.Reason)
	}
	if recordErr != nil {
		o.acceptor.log.Emit(events.ClaimOutcomeUnwritten, events.ServiceField(rq.service), events.CauseField(recordErr))
	}
	if err != nil {
		return err
	}
	return commitError(out.commit())
}

// grantGate checks and marks the claim before each dispatch.
type grantGate struct {
	grant *once.Grant
}

func (g *grantGate) beginDispatch() bool { return g.grant.BeginDispatch() }

func (g *grantGate) recordNotRun() { g.grant.RecordNotRun() }

// awaitHolder polls the holder of a claim until the request has an outcome.
func (o *onceRunner) awaitHolder(ctx context.Context, running *once.Running) (once.Result, *verdict.Error) {
	lastResponse := time.Now()
	for {
		op, ok, terminated := o.queryHolder(ctx, running)
		switch {
		case terminated:
			return once.Result{}, o.abandon(ctx, running)
		case !ok && time.Since(lastResponse) > holderUnreachableTimeout:
			return once.Result{}, verdict.Uncertain(verdict.ClaimHolderLost, errors.New("the holder of the claim does not answer"))
		case ok:
			lastResponse = time.Now()
			if result, err, done := o.operationResult(ctx, running, op); done {
				return result, err
			}
		}
		if sleep(ctx, operationPollInterval) != nil {
			return once.Result{}, verdict.Uncertain(verdict.ClaimRunning, ctx.Err())
		}
	}
}

// queryHolder returns the state of the operation at the holder; ok is false if the holder did not return one.
// terminated means that the incarnation that made the claim has terminated.
func (o *onceRunner) queryHolder(ctx context.Context, running *once.Running) (op once.Operation, ok, terminated bool) {
	if running.Local {
		return o.claims.Operation(running.Claim), true, false
	}
	holder, found := o.nodeOf(running.Node)
	if !found {
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

// operationResult converts the state reported by the holder into a result; done is false while the request runs.
func (o *onceRunner) operationResult(ctx context.Context, running *once.Running, op once.Operation) (result once.Result, err *verdict.Error, done bool) {
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

// abandon resolves a claim whose holder can no longer report the outcome.
func (o *onceRunner) abandon(ctx context.Context, running *once.Running) *verdict.Error {
	if err := o.claims.MarkHolderLost(ctx, running); err != nil {
		o.acceptor.log.Emit(events.ClaimOutcomeUnwritten, events.ServiceField(running.Service), events.CauseField(err))
	}
	return verdict.Uncertain(verdict.ClaimHolderLost, nil)
}
