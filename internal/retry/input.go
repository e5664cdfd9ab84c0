package retry

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Input describes a request whose attempt has just ended.
type Input struct {
	Class declaration.Class
	// Attempt is the number of attempts so far, 1 after the first. A refusal that fails over to the next target does not
	// count.
	Attempt int
	// MaxAttempts bounds Attempt; 0 means DefaultMaxAttempts.
	MaxAttempts int
	// Refusals is the number of refusals by admission points since the last backoff, including this one.
	Refusals int
	// CapacityWaits is the number of waits after rounds in which every target refused the request.
	CapacityWaits int
	// Saturated means that a healthy target had no free capacity for the request, so that another round would not help.
	Saturated bool
	// RunWasCut means that a run of the request was cut off by the end of a node, or will be. The caller can't be told that the
	// request did not run, so rounds of refusals are repeated while a run can still end in time.
	RunWasCut bool
	// UsualRun is the usual duration of an attempt on the route, 0 if it is not known.
	UsualRun time.Duration
	// Untried is the number of usable targets that were not tried since the last backoff.
	Untried int
	// Err is the failure or refusal, nil if the upstream responded.
	Err *verdict.Error
	// Status is the status of the response, 0 if there is none.
	Status int
	// RetryStatuses are the route's statuses that are retried if the class is idempotent.
	RetryStatuses []int
	// RetryAfter is the Retry-After of the response. The larger of it and the one of Err applies.
	RetryAfter time.Duration
	// Remaining is the time to the deadline of the request.
	Remaining time.Duration
}

// Next returns the input with the counts for the attempt that the decision allows. The caller sets the result of the
// attempt.
func (in Input) Next(d Decision) Input {
	switch {
	case d.TryNextTarget:
		in.Refusals++
	case d.WaitForCapacity:
		in.CapacityWaits++
		in.Refusals = 1
	default:
		in.Attempt++
		in.Refusals = 1
	}
	return in
}

// AttemptsLeft returns the number of attempts that are allowed after the current one.
func (in *Input) AttemptsLeft() int { return max(maxAttempts(in)-in.Attempt, 0) }

// HasAttemptsLeft reports whether another attempt is allowed after the current one.
func (in *Input) HasAttemptsLeft() bool { return in.AttemptsLeft() > 0 }
