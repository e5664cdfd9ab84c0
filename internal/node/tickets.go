package node

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/once"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// serveTicket issues an operation ticket.
func (o *onceRunner) serveTicket(w http.ResponseWriter) {
	if o.acceptor.stopping.Load() {
		o.acceptor.refuse(w, nil, verdict.Refused(verdict.NodeStopping, nil))
		return
	}
	o.mu.Lock()
	ticket := o.tickets.Issue(o.acceptor.clock.now())
	o.mu.Unlock()
	w.Header().Set(headerTicket, ticket)
	w.WriteHeader(http.StatusCreated)
}

// serveWithTicket runs the request at the node that issued the ticket.
func (o *onceRunner) serveWithTicket(ctx context.Context, rq *request, text string, out *delivery) *verdict.Error {
	ticket, err := once.ParseTicket(text)
	if err != nil {
		return verdict.Refused(verdict.KeyInvalid, err)
	}
	if ticket.Node == o.acceptor.self.ID {
		return o.redeem(ctx, rq, text, out)
	}
	return o.forwardTicket(ctx, rq, ticket, text, out)
}

// forwardTicket forwards the request to the issuing node. An earlier request with the same ticket may have run, so any
// failure to get the outcome counts as may-have-run. The outcome is not-run only if the issuing node reports it.
func (o *onceRunner) forwardTicket(ctx context.Context, rq *request, ticket once.Ticket, text string, out *delivery) *verdict.Error {
	issuer, found := o.nodeOf(ticket.Node)
	switch {
	case !found:
		return verdict.Uncertain(verdict.TicketUnreachable, errors.New("the issuing node is not known"))
	case issuer.Incarnation > ticket.Incarnation:
		return verdict.Uncertain(verdict.TicketLost, errors.New("the issuing incarnation is gone"))
	}
	head := rq.redeemHead(o.acceptor.self.ID, text)
	if refusal := o.acceptor.renewAccess(rq, head); refusal != nil {
		return refusal
	}
	out.reset("", nil)
	out.unmodifiedHead = true
	trailer, err := o.acceptor.peers.Redeem(ctx, issuer.PeerAddress, head, rq.body, out)
	if err != nil {
		return verdict.Uncertain(verdict.TicketUnreachable, err)
	}
	if e := trailerOutcome(rq, trailer, out); e != nil {
		return e
	}
	return commitError(out.commit())
}

// redeem runs the request under a ticket of this node, or replays the response recorded for the ticket.
func (o *onceRunner) redeem(ctx context.Context, rq *request, text string, out *delivery) *verdict.Error {
	for {
		o.mu.Lock()
		result, err := o.tickets.Begin(o.acceptor.clock.now(), text, rq.operation)
		o.mu.Unlock()
		switch {
		case err != nil:
			return err
		case result.State == once.TicketReplay:
			return commitError(replay(out.next, result.Answer, replayedHeaders()...))
		case result.State == once.TicketRun:
			return o.runWithTicket(ctx, rq, result.Ticket, out)
		}
		if sleep(ctx, operationPollInterval) != nil {
			return verdict.Uncertain(verdict.ClaimRunning, ctx.Err())
		}
	}
}

func (o *onceRunner) runWithTicket(ctx context.Context, rq *request, ticket once.Ticket, out *delivery) *verdict.Error {
	err := o.acceptor.serveWithRetries(ctx, rq, openGate{}, out)
	o.recordTicketOutcome(ticket, err, out)
	if err != nil {
		return err
	}
	return commitError(out.commit())
}

func (o *onceRunner) recordTicketOutcome(ticket once.Ticket, err *verdict.Error, out *delivery) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.acceptor.clock.now()
	switch {
	case err == nil:
		o.tickets.Record(now, ticket, out.recordableAnswer())
	case err.Verdict == verdict.NotRun:
		o.tickets.Release(now, ticket)
	default:
		o.tickets.RecordUncertain(now, ticket, err.Reason)
	}
}

// redeemForPeer runs a request that another node accepted, under a ticket of this node.
func (o *onceRunner) redeemForPeer(ctx context.Context, head *peerv1.ForwardHead, body []byte, sink peer.Sink) *peerv1.AnswerTrailer {
	counting := &countingSink{next: sink}
	rq, err := requestFromHead(o.acceptor.view.Load(), head, body, o.acceptor.seed^o.acceptor.serial.Add(1))
	if err == nil {
		running, cancel := context.WithDeadline(context.WithoutCancel(ctx), rq.deadline)
		defer cancel()
		err = o.redeem(running, rq, head.Ticket, newDelivery(counting, nonIdempotentBufferBytes))
	}
	if err == nil {
		return &peerv1.AnswerTrailer{Verdict: int32(verdict.Ran), TotalBytes: counting.bytes}
	}
	trailer := &peerv1.AnswerTrailer{
		Verdict: int32(err.Verdict), Reason: string(err.Reason), RetryAfterMs: err.RetryAfter.Milliseconds(),
	}
	if err.Cause != nil {
		trailer.Detail = err.Cause.Error()
	}
	return trailer
}
