package peer

import (
	"context"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// Handler handles the calls of other nodes. Its methods are called concurrently.
type Handler interface {
	Hello(*peerv1.HelloRequest) *peerv1.HelloResponse
	// Forward runs an attempt at a target of this node and returns the trailer of the response. ctx is cancelled when the
	// accepting node cancels the call or its connection fails.
	Forward(ctx context.Context, head *peerv1.ForwardHead, body Body, sink Sink) *peerv1.AnswerTrailer
	// Redeem runs a request with a ticket that this node issued.
	Redeem(ctx context.Context, head *peerv1.ForwardHead, body Body, sink Sink) *peerv1.AnswerTrailer
	// ResponseAcknowledged is called when the accepting node has acknowledged the response of a non-idempotent attempt.
	ResponseAcknowledged(attempt string)
	Lookup(*peerv1.LookupRequest) *peerv1.LookupResponse
	Operation(*peerv1.OperationRequest) *peerv1.OperationResponse
	Pull(*peerv1.PullRequest) *peerv1.PullResponse
	Chunks(*peerv1.ChunksRequest) *peerv1.ChunksResponse
	// Reports returns the failure detector reports about this node's targets of a service.
	Reports(*peerv1.ReportsRequest) *peerv1.ReportsResponse
	// Warn processes another node's notice about a request that crashes its upstreams.
	Warn(*peerv1.WarnRequest)
	// Stopping processes the notice that an accepting node stops.
	Stopping(*peerv1.StoppingRequest)
	// Quota grants another node permits of client accounts.
	Quota(*peerv1.QuotaRequest) *peerv1.QuotaResponse
}
