package verdict

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is the outcome of a request without a complete response.
type Error struct {
	// Verdict is NotRun or MayHaveRun.
	Verdict Verdict
	// Reason is the stable code of the outcome.
	Reason Reason
	// RetryAfter is the minimum delay before another attempt, 0 if the refusing side sent none.
	RetryAfter time.Duration
	// RequiredSuccesses, ExpectedWait and FreeSlots describe the target that refused the request: the successes that its circuit
	// breaker needs to close, 0 if it is closed, the expected wait for a slot, and the slots that it keeps free.
	RequiredSuccesses int
	ExpectedWait      time.Duration
	FreeSlots         int
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

// Of returns the Error in err's chain. Without one it returns MayHaveRun with the reason fallback, because such an error
// does not show whether the request ran.
func Of(err error, fallback Reason) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Uncertain(fallback, err)
}
