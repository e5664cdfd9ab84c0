package retry

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Input describes a request whose attempt has just ended.
type Input struct {
	Class declaration.Class
	// Attempt counts the attempts so far, 1 after the first. A hop does not count.
	Attempt int
	// MaxAttempts bounds Attempt; 0 means DefaultMaxAttempts.
	MaxAttempts int
	// Hops counts the refusals by admission points since the last backoff, this one included.
	Hops int
	// Waits counts the pauses after rounds in which every target refused the request.
	Waits int
	// Saturated means that a sound target had no room for the request, so that another round is of no use.
	Saturated bool
	// Untried is the number of usable targets that were not tried since the last backoff.
	Untried int
	// Err is the failure or refusal, nil if the upstream answered.
	Err *verdict.Error
	// Status is the status of the answer, 0 if there is none.
	Status int
	// RetryStatuses are the route's statuses that are retried if the class is idempotent.
	RetryStatuses []int
	// RetryAfter is the Retry-After of the answer; that of Err counts too.
	RetryAfter time.Duration
	// Remaining is the time to the deadline of the request.
	Remaining time.Duration
}

// Next returns the input with the counts for the attempt that the decision allows. The caller sets what the attempt
// brings.
func (in Input) Next(d Decision) Input {
	switch {
	case d.Hop:
		in.Hops++
	case d.Waits:
		in.Waits++
		in.Hops = 1
	default:
		in.Attempt++
		in.Hops = 1
	}
	return in
}

// MayRepeat reports whether the number of attempts allows one more after the present one.
func (in *Input) MayRepeat() bool { return in.Attempt < maxAttempts(in) }
