package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// RunEvidence describes the run that tripped or closed the circuit breaker of its target.
type RunEvidence struct {
	Attempt model.AttemptID
	Route   string
	// Overdue means that the run exceeded OverdueAfter.
	Overdue bool
	// RunTime is the time that the run has taken so far. OverdueAfter is the time after which it is overdue, 0 without an
	// estimate.
	RunTime, OverdueAfter time.Duration
	// RequiredSuccesses is the number of successes that the breaker needs from now on to close, 0 if it is closed.
	RequiredSuccesses int
}
