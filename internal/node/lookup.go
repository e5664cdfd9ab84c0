package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

const (
	// lookupInterval is the time between two lookups of a running attempt.
	lookupInterval = 100 * time.Millisecond
	// lookupUnreachableTimeout is how long a node may be unreachable before the outcome of its attempts is reported as
	// uncertain. A restarted node responds at once with its new incarnation, so this only delays the outcome for a node
	// that has terminated or is partitioned.
	lookupUnreachableTimeout = 10 * time.Second
)

// lookup queries the admitting node on new connections for the outcome of a non-idempotent attempt. The query fences an
// attempt that was never admitted, so that "not run" is final.
func (a *acceptor) lookup(ctx context.Context, c *routing.Candidate, head *peerv1.ForwardHead, failed *peer.ForwardError, out *delivery) (*peerv1.AnswerTrailer, *verdict.Error) {
	req := &peerv1.LookupRequest{
		Attempt: head.Attempt, Service: head.Service, Target: head.Target,
		Incarnation: uint64(failed.Incarnation), Fence: true,
	}
	lastResponse := time.Now()
	for {
		res, err := a.peers.Lookup(ctx, c.Node.PeerAddress, req)
		if err == nil {
			lastResponse = time.Now()
			a.recordPathSuccess(c.Node.ID)
			if trailer, outcome, final := lookupOutcome(res, head, out); final {
				return trailer, outcome
			}
		} else {
			a.recordPathFailure(c.Node, err)
		}
		if time.Since(lastResponse) > lookupUnreachableTimeout {
			return nil, verdict.Uncertain(verdict.NodeLost, err)
		}
		if sleep(ctx, lookupInterval) != nil {
			return nil, endedAfterDispatch(ctx)
		}
	}
}

// lookupOutcome returns the outcome of an attempt; final is false while it runs.
func lookupOutcome(res *peerv1.LookupResponse, head *peerv1.ForwardHead, out *delivery) (trailer *peerv1.AnswerTrailer, outcome *verdict.Error, final bool) {
	switch res.State {
	case peerv1.AttemptState_ATTEMPT_STATE_RUNNING:
		return nil, nil, false
	case peerv1.AttemptState_ATTEMPT_STATE_NOT_ADMITTED:
		return nil, verdict.Refused(verdict.AttemptFenced, nil), true
	case peerv1.AttemptState_ATTEMPT_STATE_REFUSED:
		return nil, verdict.Refused(verdict.AttemptFenced, nil), true
	case peerv1.AttemptState_ATTEMPT_STATE_ANSWERED:
		trailer, outcome := redeliver(res, head, out)
		return trailer, outcome, true
	case peerv1.AttemptState_ATTEMPT_STATE_ENDED:
		return nil, verdict.Uncertain(verdict.AnswerDropped, nil), true
	case peerv1.AttemptState_ATTEMPT_STATE_LOST:
		return nil, verdict.Uncertain(verdict.UpstreamLost, nil), true
	}
	return nil, verdict.Uncertain(verdict.NodeLost, errors.New("the admitting node has another incarnation")), true
}

// redeliver replaces a truncated response by the one that the admitting node has retained.
func redeliver(res *peerv1.LookupResponse, head *peerv1.ForwardHead, out *delivery) (*peerv1.AnswerTrailer, *verdict.Error) {
	if out.committed || res.Head == nil {
		return nil, verdict.Uncertain(verdict.AnswerIncomplete, nil)
	}
	out.reset(head.Attempt, out.onCrossRegionBytes)
	if err := out.Head(res.Head); err != nil {
		return nil, verdict.Uncertain(verdict.AnswerIncomplete, err)
	}
	if err := out.Body(res.Body); err != nil {
		return nil, verdict.Uncertain(verdict.CallerCancelled, err)
	}
	return &peerv1.AnswerTrailer{Verdict: int32(verdict.Ran), TotalBytes: int64(len(res.Body))}, nil
}

// lookupResponse converts the status of an attempt to its protobuf message.
func lookupResponse(status admission.Status) *peerv1.LookupResponse {
	res := &peerv1.LookupResponse{State: lookupStates[status.State]}
	if status.Answer != nil {
		res.Head = &peerv1.AnswerHead{
			Status: int32(status.Answer.Status), Headers: fromHeaders(status.Answer.Headers), ContentLength: -1,
		}
		res.Body = status.Answer.Body
	}
	return res
}

var lookupStates = map[admission.State]peerv1.AttemptState{
	admission.StateNotAdmitted:        peerv1.AttemptState_ATTEMPT_STATE_NOT_ADMITTED,
	admission.StateRunning:            peerv1.AttemptState_ATTEMPT_STATE_RUNNING,
	admission.StateAnswered:           peerv1.AttemptState_ATTEMPT_STATE_ANSWERED,
	admission.StateEnded:              peerv1.AttemptState_ATTEMPT_STATE_ENDED,
	admission.StateLost:               peerv1.AttemptState_ATTEMPT_STATE_LOST,
	admission.StateRefused:            peerv1.AttemptState_ATTEMPT_STATE_REFUSED,
	admission.StateUnknownIncarnation: peerv1.AttemptState_ATTEMPT_STATE_UNKNOWN_INCARNATION,
}
