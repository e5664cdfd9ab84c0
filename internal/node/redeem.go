package node

import (
	"math/rand/v2"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/core"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// redeemHead returns the head for forwarding the request to the node that issued the ticket.
func (rq *request) redeemHead(self model.NodeID, ticket string) *peerv1.ForwardHead {
	head := proto.Clone(rq.head).(*peerv1.ForwardHead)
	head.Ticket = ticket
	head.AcceptingNode = string(self)
	head.TimeoutMs = rq.remaining().Milliseconds()
	return head
}

// requestFromHead returns the request that another node forwarded with a ticket. It matches the route again, because
// this node is responsible for the outcome.
func requestFromHead(view *core.View, head *peerv1.ForwardHead, body []byte, seed uint64) (*request, *verdict.Error) {
	if _, err := url.ParseRequestURI(head.Uri); err != nil {
		return nil, verdict.Refused(verdict.BadRequest, errors.Wrap(err, "URI"))
	}
	if view == nil {
		return nil, verdict.Refused(verdict.NotReady, nil)
	}
	match := view.Table.Match(head.Host, head.Method, routing.PathOf(head.Uri))
	if match == nil {
		return nil, verdict.Refused(verdict.NoRoute, nil)
	}
	if refusal := match.Refusal(); refusal != nil {
		return nil, refusal
	}
	if refusal := uncheckedRefusal(head, match); refusal != nil {
		return nil, refusal
	}
	rq := &request{
		match:     match,
		service:   match.Service.Name,
		started:   time.Now(),
		class:     match.Route.ClassOf(head.Method),
		head:      head,
		body:      body,
		deadline:  time.Now().Add(time.Duration(head.TimeoutMs) * time.Millisecond),
		operation: operationFingerprint(model.AccountName(head.Account), head.Method, head.Uri, body),
		rng:       rand.New(rand.NewPCG(seed, 0)),
	}
	head.Service = string(match.Service.Name)
	head.Idempotent = rq.idempotent()
	return rq, nil
}
