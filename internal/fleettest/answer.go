package fleettest

import (
	"time"

	"github.com/pkg/errors"
)

// Headers of the callers' protocol.
const (
	headerKey     = "Idempotency-Key"
	headerTicket  = "Sardinereach-Ticket"
	headerVerdict = "Sardinereach-Verdict"
	headerReason  = "Sardinereach-Reason"
	headerAttempt = "Sardinereach-Attempt"
	headerTimeout = "Sardinereach-Timeout-Ms"
	headerReplay  = "Sardinereach-Replayed"
)

// Verdicts as callers see them.
const (
	NotRun     = "not-run"
	MayHaveRun = "may-have-run"
	Ran        = "ran"
)

// Answer is what a caller got for one request.
type Answer struct {
	Status   int
	Verdict  string
	Reason   string
	Attempt  string
	Replayed bool
	// Target names the upstream that answered, as the upstream tells it.
	Target string
	// Whole means that the complete answer of an upstream to this very request arrived.
	Whole bool
	Bytes int64
	// Err is why the answer is not whole, nil for refusals and failures that a node reported.
	Err  error
	Took time.Duration
}

// Outcome is a short name for counts: whole, a reason, or what the caller saw instead.
func (a Answer) Outcome() string {
	switch {
	case a.Whole:
		return "whole"
	case a.Err != nil:
		return "broken"
	case a.Reason != "":
		return a.Verdict + " " + a.Reason
	}
	return "upstream failure"
}

// wholeOrError returns nil for a whole answer.
func (a Answer) wholeOrError() error {
	if a.Whole {
		return nil
	}
	return errors.Errorf("%s, status %d, %v", a.Outcome(), a.Status, a.Err)
}
