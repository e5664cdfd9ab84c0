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
	// lookupPause is the time between two questions about a running attempt.
	lookupPause = 100 * time.Millisecond
	// lookupGiveUp is how long a node may give no answer before its attempts count as lost. A restarted node answers
	// at once that it is another incarnation, so this only delays the answer about a node that is gone or cut off.
	lookupGiveUp = 10 * time.Second
)

// lookup asks the admitting node on new connections what became of a non-idempotent attempt. An attempt that was never
// admitted is fenced by the question, so that "not run" is final.
func (a *acceptor) lookup(ctx context.Context, c *routing.Candidate, head *peerv1.ForwardHead, failed *peer.ForwardError, out *delivery) (*peerv1.AnswerTrailer, *verdict.Error) {
	req := &peerv1.LookupRequest{
		Attempt: head.Attempt, Service: head.Service, Target: head.Target,
		Incarnation: uint64(failed.Incarnation), Fence: true,
	}
	heard := time.Now()
	for {
		res, err := a.peers.Lookup(ctx, c.Node.PeerAddress, req)
		if err == nil {
			heard = time.Now()
			a.pathWorked(c.Node.ID)
			if trailer, outcome, known := concludeLookup(res, head, out); known {
				return trailer, outcome
			}
		} else {
			a.pathFailed(c.Node, err)
		}
		if time.Since(heard) > lookupGiveUp {
			return nil, verdict.Uncertain(verdict.NodeLost, err)
		}
		if sleep(ctx, lookupPause) != nil {
			return nil, endedAfterDispatch(ctx)
		}
	}
}

// concludeLookup returns the outcome of an attempt, known is false while it runs.
func concludeLookup(res *peerv1.LookupResponse, head *peerv1.ForwardHead, out *delivery) (trailer *peerv1.AnswerTrailer, outcome *verdict.Error, known bool) {
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

// redeliver puts a held answer in the place of the one that broke off.
func redeliver(res *peerv1.LookupResponse, head *peerv1.ForwardHead, out *delivery) (*peerv1.AnswerTrailer, *verdict.Error) {
	if out.committed || res.Head == nil {
		return nil, verdict.Uncertain(verdict.AnswerIncomplete, nil)
	}
	out.restart(head.Attempt, out.crossBytes)
	if err := out.Head(res.Head); err != nil {
		return nil, verdict.Uncertain(verdict.AnswerIncomplete, err)
	}
	if err := out.Body(res.Body); err != nil {
		return nil, verdict.Uncertain(verdict.CallerCancelled, err)
	}
	return &peerv1.AnswerTrailer{Verdict: int32(verdict.Ran), TotalBytes: int64(len(res.Body))}, nil
}

// lookupResponse puts what the admission point knows in the words of the protocol.
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
