package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Request is an admission request for one attempt. Times are on the admitting node's monotonic clock.
type Request struct {
	Attempt    model.AttemptID
	Service    model.ServiceName
	Target     model.TargetID
	Idempotent bool
	// Incarnation is the incarnation of the admitting node to which the attempt was sent.
	Incarnation model.Incarnation
	// AdmitBefore is the latest admission time.
	AdmitBefore time.Duration
	// Deadline is the time at which the accepting node times out.
	Deadline time.Duration
	// AnswerBy is the time by which the accepting node needs the response because it stops, 0 if it does not stop.
	AnswerBy time.Duration
	// ReplacesCutRun means that an earlier run of the request was, or will be, cut off by the stop of a node. The caller can't be
	// told that the request did not run, so it waits for as long as its run can end in time.
	ReplacesCutRun bool
	// Bulk requests queue behind interactive ones and may not take the last queue place.
	Bulk bool
	// Route is the name of the route. The target keeps a baseline latency for each route.
	Route string
	// Objective is the route's latency objective, 0 for none.
	Objective time.Duration
	// ObjectiveRemaining is the part of the objective that remains when the request arrives.
	ObjectiveRemaining time.Duration
	// Rank orders queued requests, 0 first. Within a rank, those that replace a cut run go first, because they have no other
	// chance and few are in this state. After them, requests with a shorter objective go first: they are short, and most of
	// them are calls for which a run at another target waits.
	Rank int
	// IdleOnly means that the request is refused instead of queued if no slot is free.
	IdleOnly bool
	// LastResort means that no other target would accept the request, so it is admitted even if the breaker is half-open.
	LastResort bool
	// RequireClosedBreaker means that the request must not be used as a probe of a half-open breaker, because it has no
	// retries left.
	RequireClosedBreaker bool
	// Fingerprint is the hash of host, caller, method, URI and body.
	Fingerprint uint64
}

// isBefore reports whether the request is queued ahead of another request that is already queued.
func (r *Request) isBefore(other *Request) bool {
	if r.Bulk != other.Bulk {
		return other.Bulk
	}
	if r.Rank != other.Rank {
		return r.Rank < other.Rank
	}
	if r.ReplacesCutRun != other.ReplacesCutRun {
		return r.ReplacesCutRun
	}
	return r.Objective < other.Objective
}

// end returns the time after which a response is of no use.
func (r *Request) end() time.Duration {
	if r.AnswerBy == 0 {
		return r.Deadline
	}
	return min(r.AnswerBy, r.Deadline)
}

// latest returns the time from which the attempt is no longer admitted.
func (r *Request) latest() time.Duration { return min(r.AdmitBefore, r.Deadline) }
