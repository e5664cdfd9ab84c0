package peer

import (
	"context"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// Handler answers the calls of other nodes. Its methods are called concurrently.
type Handler interface {
	Hello(*peerv1.HelloRequest) *peerv1.HelloResponse
	// Forward runs an attempt at a target of this node and returns the trailer of its answer. ctx ends when the
	// accepting node cancels or its connection breaks.
	Forward(ctx context.Context, head *peerv1.ForwardHead, body Body, sink Sink) *peerv1.AnswerTrailer
	// Redeem runs a request with a ticket that this node issued.
	Redeem(ctx context.Context, head *peerv1.ForwardHead, body Body, sink Sink) *peerv1.AnswerTrailer
	// Collected is called when the accepting node has confirmed the answer of a non-idempotent attempt.
	Collected(attempt string)
	Lookup(*peerv1.LookupRequest) *peerv1.LookupResponse
	Operation(*peerv1.OperationRequest) *peerv1.OperationResponse
	Pull(*peerv1.PullRequest) *peerv1.PullResponse
	// Reports returns the evidence about the targets of a service beside this node.
	Reports(*peerv1.ReportsRequest) *peerv1.ReportsResponse
	// Warn takes in what another node has found about a request that crashes its upstreams.
	Warn(*peerv1.WarnRequest)
}
