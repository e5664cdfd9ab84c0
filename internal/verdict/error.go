package verdict

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is the outcome of a request that got no complete answer.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the stable code of the outcome.
	Reason Reason
	// RetryAfter is the least time to wait before another attempt, 0 if the refusing side gave none.
	RetryAfter time.Duration
	// RequiredSuccesses and Wait are the state of the target that refused the request: the good answers that it still needs if it is
	// doubtful, and the expected wait for a slot.
	RequiredSuccesses int
	ExpectedWait      time.Duration
	// Cause is the underlying error, nil if there is none.
	Cause error
}

// Refused returns an Error with the verdict NotRun.
func Refused(reason Reason, cause error) *Error {
	return &Error{Verdict: NotRun, Reason: reason, Cause: cause}
}

// Uncertain returns an Error with the verdict MayHaveRun.
func Uncertain(reason Reason, cause error) *Error {
	return &Error{Verdict: MayHaveRun, Reason: reason, Cause: cause}
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Verdict, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %v", e.Verdict, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the Error in err's chain. An error without one counts as may-have-run with the reason fallback, because
// nothing is known about the request.
func Of(err error, fallback Reason) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Uncertain(fallback, err)
}
