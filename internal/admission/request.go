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
	// Route names the route, whose run times are compared.
	Route string
	// Objective is the route's latency objective, 0 for none.
	Objective time.Duration
	// ObjectiveLeft is what is left of the objective when the request arrives.
	ObjectiveLeft time.Duration
	// Rank orders requests that wait, 0 before all others. Within a rank those with a shorter objective go first: they are
	// short, and mostly calls on which a run at another target waits.
	Rank int
	// IdleOnly means that the request does not wait for a slot.
	IdleOnly bool
	// LastResort means that no other target would take the request, so that a doubtful one does.
	LastResort bool
	// TrustedOnly means that the request is no probe of a doubtful target, because it cannot be repeated any more.
	TrustedOnly bool
	// Fingerprint is the hash of method, URI and body.
	Fingerprint uint64
}

// isBefore reports whether the request goes before another one that waits already.
func (r *Request) isBefore(other *Request) bool {
	if r.Bulk != other.Bulk {
		return other.Bulk
	}
	if r.Rank != other.Rank {
		return r.Rank < other.Rank
	}
	return r.Objective < other.Objective
}

// latest returns the time from which the attempt is not admitted any more.
func (r *Request) latest() time.Duration { return min(r.AdmitBefore, r.Deadline) }
