package detect

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Route names the route of a request; first-byte times are compared only among requests of the same route.
type Route string

// Outcome is the result of one completed request at the target.
type Outcome struct {
	Route Route
	// Failed means that the request failed according to its status or its reason.
	Failed bool
	// Reason is the reason of a refusal or a failure, empty for a response of the upstream.
	Reason verdict.Reason
	// FirstByte is the time from sending the request to the first byte of the response, 0 if none was received.
	FirstByte time.Duration
	// ColdStart means that the target was in its slow-start ramp, where slow responses are expected.
	ColdStart bool
	// IsTrial means that the request is a trial request that BeginTrial allowed.
	IsTrial bool
}

// isEvidence reports whether the outcome is evidence for or against the target. Refusals, shed requests and
// cancellation by the caller are not.
func (o Outcome) isEvidence() bool {
	switch o.Reason {
	case "", verdict.UpstreamLost, verdict.UpstreamTimeout, verdict.UpstreamUnreachable:
		return true
	case verdict.AnswerIncomplete:
		return o.Failed
	}
	return false
}
