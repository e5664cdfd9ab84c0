package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// cancelPollInterval is the poll interval for the state of a canceled attempt.
const cancelPollInterval = 5 * time.Millisecond

// runLocalOnce runs a non-idempotent attempt at a local target. The run continues when the request is canceled, but the
// request does not wait for its end.
func (a *acceptor) runLocalOnce(ctx context.Context, head *peerv1.ForwardHead, body []byte, out peer.Sink) *peerv1.AnswerTrailer {
	sink := &detachableSink{next: out}
	ended := make(chan *peerv1.AnswerTrailer, 1)
	go func() {
		var trailer *peerv1.AnswerTrailer
		defer func() { ended <- trailer }()
		defer recoverPanic(a.log, "local run", &trailer)
		trailer = a.admitter.run(ctx, head, peer.Bytes(body), sink)
		a.admitter.acknowledgeResponse(head.Attempt)
	}()
	select {
	case trailer := <-ended:
		return trailer
	case <-ctx.Done():
	}
	// At its deadline the run ends by itself.
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return <-ended
	}
	// An attempt that is still queued ends as not run.
	for !a.admitter.isRunning(model.AttemptID(head.Attempt)) {
		select {
		case trailer := <-ended:
			return trailer
		case <-time.After(cancelPollInterval):
		}
	}
	sink.detach()
	return a.admitter.trailer(head, verdict.Uncertain(verdict.CallerCancelled, ctx.Err()))
}
