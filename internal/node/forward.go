package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// dispatch sends the attempt to the admitting node. It returns the trailer, or an outcome if no trailer was received.
func (a *acceptor) dispatch(ctx context.Context, rq *request, c *routing.Candidate, head *peerv1.ForwardHead, out *delivery) (*peerv1.AnswerTrailer, *verdict.Error) {
	if c.Node.ID == a.self.ID {
		return a.forwardLocal(ctx, head, rq.body, out), nil
	}
	if refusal := a.beginRemote(ctx, head); refusal != nil {
		return nil, refusal
	}
	trailer, err := a.peers.Forward(ctx, c.Node.PeerAddress, head, rq.body, out)
	a.endRemote(head, trailer)
	if err == nil {
		a.recordPathSuccess(c.Node.ID)
		a.dropStaleSession(c.Node.PeerAddress, trailer)
		return trailer, nil
	}
	return a.resolveForwardFailure(ctx, rq, c, head, err, out)
}

// beginRemote checks with the quarantine that the request may run at a target of another node. Both nodes check, so
// that a crashing request is stopped even while the store, through which nodes share quarantine entries, is
// unavailable. The time that the request waits for the quarantine is taken from the times of its head.
func (a *acceptor) beginRemote(ctx context.Context, head *peerv1.ForwardHead) *verdict.Error {
	began := time.Now()
	if err := a.admitter.crashes.awaitAllowed(ctx, head); err != nil {
		return err
	}
	waited := time.Since(began).Milliseconds()
	head.TimeoutMs -= waited
	head.ObjectiveLeftMs -= waited
	if head.TimeoutMs <= 0 {
		return endedOrExpired(ctx)
	}
	return a.admitter.crashes.begin(head)
}

func (a *acceptor) endRemote(head *peerv1.ForwardHead, trailer *peerv1.AnswerTrailer) {
	if trailer.GetLossSerial() != 0 {
		a.admitter.crashes.recordRemoteLoss(head, trailer.LossSerial)
		return
	}
	a.admitter.crashes.finish(head, verdict.Verdict(trailer.GetVerdict()) == verdict.Ran)
}

// dropStaleSession drops the session of a peer that has restarted, so that the next attempt starts with Hello.
func (a *acceptor) dropStaleSession(address string, trailer *peerv1.AnswerTrailer) {
	switch verdict.Reason(trailer.Reason) {
	case verdict.WrongIncarnation, verdict.AdmitExpired:
		a.peers.DropSession(address)
	}
}

func (a *acceptor) recordPathSuccess(id model.NodeID) {
	if a.paths.recordSuccess(id) {
		a.log.Emit(events.PathRestored, events.NodeField(id))
		a.pathChanged()
	}
}

func (a *acceptor) recordPathFailure(node model.Node, cause error) {
	if a.paths.recordFailure(a.clock.now(), node) {
		a.log.Emit(events.PathAvoided, events.NodeField(node.ID), events.CauseField(cause))
		a.pathChanged()
	}
}

// resolveForwardFailure determines the outcome of an attempt whose connection failed.
func (a *acceptor) resolveForwardFailure(ctx context.Context, rq *request, c *routing.Candidate, head *peerv1.ForwardHead, err error, out *delivery) (*peerv1.AnswerTrailer, *verdict.Error) {
	var failed *peer.ForwardError
	if !errors.As(err, &failed) {
		return nil, verdict.Uncertain(verdict.NodeLost, err)
	}
	cancelled := ctx.Err() != nil
	if !failed.Sent {
		if cancelled {
			return nil, endedBeforeDispatch(ctx)
		}
		a.recordPathFailure(c.Node, err)
		return nil, verdict.Refused(verdict.NodeUnreachable, err)
	}
	if cancelled {
		return nil, endedAfterDispatch(ctx)
	}
	if failed.FrameTimedOut {
		a.log.Emit(events.ConnectionSilent, events.NodeField(c.Node.ID), events.AddressField(c.Node.PeerAddress))
	}
	if rq.idempotent() {
		// Hello on a new connection separates an unresponsive connection from an unreachable node.
		if _, helloErr := a.peers.Hello(ctx, c.Node.PeerAddress); helloErr != nil {
			a.recordPathFailure(c.Node, helloErr)
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
