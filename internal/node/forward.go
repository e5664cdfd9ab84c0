package node

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

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
	if err := a.admitter.crashes.awaitAllowed(ctx, head); err != nil {
		return err
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
