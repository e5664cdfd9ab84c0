package fleettest

import (
	"time"

	"github.com/pkg/errors"
)

// Headers of the protocol between callers and nodes.
const (
	headerKey     = "Idempotency-Key"
	headerTicket  = "Sardinereach-Ticket"
	headerVerdict = "Sardinereach-Verdict"
	headerReason  = "Sardinereach-Reason"
	headerAttempt = "Sardinereach-Attempt"
	headerTimeout = "Sardinereach-Timeout-Ms"
	headerReplay  = "Sardinereach-Replayed"
)

// Values of the verdict header.
const (
	NotRun     = "not-run"
	MayHaveRun = "may-have-run"
	Ran        = "ran"
)

// Answer is the result of one request as the caller received it.
type Answer struct {
	Status   int
	Verdict  string
	Reason   string
	Attempt  string
	Replayed bool
	// Target is the upstream that responded, from the upstream's own response header.
	Target string
	// Complete means that the complete response of an upstream to this request arrived.
	Complete bool
	Bytes    int64
	// Err is why the response is not complete, nil for refusals and failures that a node reported.
	Err     error
	Elapsed time.Duration
}

// Outcome returns a short label for statistics: "whole" for a complete response, the verdict and reason of a refusal,
// or the kind of failure.
func (a Answer) Outcome() string {
	switch {
	case a.Complete:
		return "whole"
	case a.Err != nil:
		return "broken"
	case a.Reason != "":
		return a.Verdict + " " + a.Reason
	}
	return "upstream failure"
}

// requireComplete returns nil for a complete response.
func (a Answer) requireComplete() error {
	if a.Complete {
		return nil
	}
	return errors.Errorf("%s, status %d, %v", a.Outcome(), a.Status, a.Err)
}
