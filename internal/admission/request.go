package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Request asks for the admission of one attempt. Times are on the admitting node's own monotonic clock.
type Request struct {
	Attempt    model.AttemptID
	Service    model.ServiceName
	Target     model.TargetID
	Idempotent bool
	// Incarnation is the incarnation of the admitting node that the attempt is meant for.
	Incarnation model.Incarnation
	// AdmitBefore is the latest admission time.
	AdmitBefore time.Duration
	// Deadline is the time at which the accepting node gives up.
	Deadline time.Duration
	// Bulk requests queue behind interactive ones and leave them the last place.
	Bulk bool
	// Fingerprint is the hash of method, URI and body.
	Fingerprint uint64
}

// latest returns the time from which the attempt is not admitted any more.
func (r *Request) latest() time.Duration { return min(r.AdmitBefore, r.Deadline) }
