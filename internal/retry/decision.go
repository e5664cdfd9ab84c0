package retry

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Decision says whether to make another attempt.
type Decision struct {
	Retry bool
	// After is the time to wait first.
	After time.Duration
	// Reason is why the last attempt is retried, or why there is no other one. It is empty for an answer that stands.
	Reason verdict.Reason
	// SameTarget means that the target may be tried again at once, after a new Hello to its node.
	SameTarget bool
	// Waits means that every target refused the request, so that nothing was sent, and that it is offered again after a
	// pause. It is no attempt and costs no budget.
	Waits bool
	// Hop means that the refusal cost no work: the next target is tried without backoff and outside the budget.
	Hop bool
}
