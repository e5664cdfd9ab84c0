package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Evidence is a run that says something about its target.
type Evidence struct {
	Attempt model.AttemptID
	Route   string
	// Overdue means that the run takes too long and has not ended.
	Overdue bool
	// Run is the time that the run has taken, Limit the time after which it is overdue, 0 if that is not known.
	Run, Limit time.Duration
	// Proofs is the number of good answers in a row that the target needs from now on, 0 if it is trusted.
	Proofs int
}
