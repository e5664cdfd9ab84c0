package node

import (
	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/upstream"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// errorOf returns the outcome of an upstream run, nil for a complete response.
func errorOf(result upstream.Result) *verdict.Error {
	var e *verdict.Error
	switch result.Outcome {
	case upstream.Answered:
		return nil
	case upstream.Shed:
		e = verdict.Refused(verdict.UpstreamShed, result.Err)
	case upstream.Unreachable:
		e = verdict.Refused(verdict.UpstreamUnreachable, result.Err)
	case upstream.TimedOut:
		e = verdict.Uncertain(verdict.UpstreamTimeout, result.Err)
	case upstream.Incomplete:
		e = verdict.Uncertain(verdict.AnswerIncomplete, result.Err)
	case upstream.Cancelled, upstream.SinkFailed:
		e = verdict.Uncertain(verdict.CallerCancelled, result.Err)
	default:
		e = verdict.Uncertain(verdict.UpstreamLost, result.Err)
	}
	e.RetryAfter = result.RetryAfter
	return e
}

// trailer returns a trailer with the load of the target; e is nil for a complete response.
func (a *admitter) trailer(head *peerv1.ForwardHead, e *verdict.Error) *peerv1.AnswerTrailer {
	trailer := &peerv1.AnswerTrailer{Verdict: int32(verdict.Ran), Load: a.loadOf(model.TargetID(head.Target))}
	if e == nil {
		return trailer
	}
	trailer.Verdict = int32(e.Verdict)
	trailer.Reason = string(e.Reason)
	trailer.RetryAfterMs = e.RetryAfter.Milliseconds()
	if e.Cause != nil {
		trailer.Detail = e.Cause.Error()
	}
	return trailer
}

func (a *admitter) loadOf(id model.TargetID) *peerv1.TargetLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	load, ok := a.point.LoadOf(id)
	if !ok {
		return nil
	}
	return &peerv1.TargetLoad{
		InFlight: int32(load.InFlight), Slots: int32(load.Slots), Queued: int32(load.Queued), Phase: int32(load.Phase),
		Doubt: int32(load.RequiredSuccesses), WaitMs: load.ExpectedWait.Milliseconds(),
	}
}

// outcomeOf converts the outcome of an upstream run to that of the admission point.
func outcomeOf(o upstream.Outcome) admission.Outcome {
	switch o {
	case upstream.Answered:
		return admission.Answered
	case upstream.Shed:
		return admission.Shed
	case upstream.Unreachable:
		return admission.Unreachable
	case upstream.Cancelled, upstream.SinkFailed:
		return admission.Cancelled
	}
	return admission.Lost
}
