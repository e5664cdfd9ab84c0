package node

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// handler serves the RPCs of other nodes.
type handler struct {
	node *Node
}

// Hello implements peer.Handler.
func (h *handler) Hello(*peerv1.HelloRequest) *peerv1.HelloResponse {
	return &peerv1.HelloResponse{
		Node:        string(h.node.self.ID),
		Incarnation: uint64(h.node.self.Incarnation),
		ClockMs:     h.node.clock.now().Milliseconds(),
	}
}

// Forward implements peer.Handler.
func (h *handler) Forward(ctx context.Context, head *peerv1.ForwardHead, body peer.Body, sink peer.Sink) (trailer *peerv1.AnswerTrailer) {
	defer recoverPanic(h.node.log, "forward", &trailer)
	return h.node.admitter.run(ctx, head, body, sink)
}

// Redeem implements peer.Handler.
func (h *handler) Redeem(ctx context.Context, head *peerv1.ForwardHead, body peer.Body, sink peer.Sink) (trailer *peerv1.AnswerTrailer) {
	defer recoverPanic(h.node.log, "redeem", &trailer)
	data, err := body()
	if err != nil {
		return &peerv1.AnswerTrailer{Verdict: int32(verdict.NotRun), Reason: string(verdict.BodyIncomplete)}
	}
	return h.node.once.redeemForPeer(ctx, head, data, sink)
}

// recoverPanic keeps a panic in the handling of one request from terminating the daemon, as the HTTP server does for
// callers' requests. The outcome is reported as may-have-run.
func recoverPanic(log *events.Log, operation string, trailer **peerv1.AnswerTrailer) {
	cause := recover()
	if cause == nil {
		return
	}
	logPanic(log, operation, cause)
	*trailer = &peerv1.AnswerTrailer{Verdict: int32(verdict.MayHaveRun), Reason: string(verdict.NodeLost)}
}

// logPanic logs a recovered panic with its stack.
func logPanic(log *events.Log, operation string, cause any) {
	log.Emit(events.PanicRecovered, events.OperationField(operation),
		events.CauseField(errors.Errorf("%v\n%s", cause, debug.Stack())))
}

// ResponseAcknowledged implements peer.Handler.
func (h *handler) ResponseAcknowledged(attempt string) { h.node.admitter.acknowledgeResponse(attempt) }

// Lookup implements peer.Handler.
func (h *handler) Lookup(req *peerv1.LookupRequest) *peerv1.LookupResponse {
	return lookupResponse(h.node.admitter.lookup(req))
}

// Operation implements peer.Handler.
func (h *handler) Operation(req *peerv1.OperationRequest) *peerv1.OperationResponse {
	return h.node.once.operation(req)
}

// Pull implements peer.Handler.
func (h *handler) Pull(req *peerv1.PullRequest) *peerv1.PullResponse {
	return h.node.distributor.HandlePull(req)
}

// Chunks implements peer.Handler.
func (h *handler) Chunks(req *peerv1.ChunksRequest) *peerv1.ChunksResponse {
	return h.node.distributor.HandleChunks(req)
}

// Warn implements peer.Handler.
func (h *handler) Warn(req *peerv1.WarnRequest) { h.node.crashes.merge(req.Entry) }

// Stopping implements peer.Handler.
func (h *handler) Stopping(req *peerv1.StoppingRequest) {
	within := time.Duration(req.AnswerWithinMs) * time.Millisecond
	h.node.admitter.acceptorStops(model.NodeID(req.Node), model.Incarnation(req.Incarnation), within)
}

// Reports implements peer.Handler.
func (h *handler) Reports(req *peerv1.ReportsRequest) *peerv1.ReportsResponse {
	return h.node.control.detection.reports(model.ServiceName(req.Service))
}

// Quota implements peer.Handler.
func (h *handler) Quota(req *peerv1.QuotaRequest) *peerv1.QuotaResponse {
	return h.node.quotas.serve(req)
}
