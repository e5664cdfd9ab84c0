package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Kind says what was decided on a request for admission.
type Kind uint8

const (
	// Refused means that the attempt was not admitted and never will be.
	Refused Kind = iota
	// Admitted means that the attempt has a slot.
	Admitted
	// Queued means that a later Grant or an EventRefused follows.
	Queued
)

// Load is the state of a target that goes back with each answer.
type Load struct {
	InFlight int
	// Slots is the number of slots that the cold-start ramp gives at present.
	Slots  int
	Queued int
	Phase  model.Phase
	// Reported is the upstream's own view, 0 to 1.
	Reported float64
	// Doubt is the number of good answers that a doubtful target still needs, 0 for a target that is not doubtful.
	Doubt int
	// Wait is the expected wait for a slot.
	Wait time.Duration
}

// Decision is the answer to a request for admission.
type Decision struct {
	Kind Kind
	// Address is host:port of the upstream if the attempt is admitted.
	Address string
	// Err is set if the attempt is refused. Its verdict is may-have-run for the duplicate of an attempt that was
	// admitted before.
	Err  *verdict.Error
	Load Load
}

// Grant admits a queued attempt.
type Grant struct {
	Attempt model.AttemptID
	Target  model.TargetID
	// Address is host:port of the upstream.
	Address string
	Load    Load
}
