package detect

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Route names the route of a request; first-byte times are compared among requests of one route.
type Route string

// Outcome is the end of one request at the target.
type Outcome struct {
	Route Route
	// Failed means that the request failed, by its status or by the reason.
	Failed bool
	// Reason is the reason of a refusal or a failure, empty for an answer of the upstream.
	Reason verdict.Reason
	// FirstByte is the time from sending the request to the first byte of the answer, 0 if none came.
	FirstByte time.Duration
	// Warming means that the target was in its cold-start ramp, where slowness is expected.
	Warming bool
	// Trial means that BeginTrial allowed the request.
	Trial bool
}

// evidence reports whether the outcome says anything about the target. Refusals, shed load and cancellation by the
// caller do not.
func (o Outcome) evidence() bool {
	switch o.Reason {
	case "", verdict.UpstreamLost, verdict.UpstreamTimeout, verdict.UpstreamUnreachable:
		return true
	case verdict.AnswerIncomplete:
		return o.Failed
	}
	return false
}
