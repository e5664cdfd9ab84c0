package retry

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Decision is the result of Decide.
type Decision struct {
	// Retry means that another attempt is made.
	Retry bool
	// After is the time to wait before the attempt.
	After time.Duration
	// Reason is why the last attempt is retried, or why no other attempt is made. It is empty for a final response.
	Reason verdict.Reason
	// SameTarget means that the target may be tried again immediately, after a new Hello to its node.
	SameTarget bool
	// WaitForCapacity means that every target refused the request, so that nothing was sent, and that the targets are tried
	// again after a wait. This does not count as an attempt and takes nothing from the budget.
	WaitForCapacity bool
	// TryNextTarget means that the refusal cost no work. The next target is tried without backoff and outside the budget.
	TryNextTarget bool
}
