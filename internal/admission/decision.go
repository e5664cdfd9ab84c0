package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Kind is the result of an admission request.
type Kind uint8

const (
	// Refused means that the attempt was not admitted and never will be.
	Refused Kind = iota
	// Admitted means that the attempt has a slot.
	Admitted
	// Queued means that a later Grant or an EventRefused follows.
	Queued
)

// Load is the state of a target that is returned with each response.
type Load struct {
	InFlight int
	// Slots is the number of slots that the slow-start ramp currently allows.
	Slots  int
	Queued int
	Phase  model.Phase
	// Reported is the load reported by the upstream, 0 to 1.
	Reported float64
	// RequiredSuccesses is the number of successes that a half-open breaker still needs to close, 0 if it is closed.
	RequiredSuccesses int
	// ExpectedWait is the expected wait for a slot.
	ExpectedWait time.Duration
}

// Decision is the response to an admission request.
type Decision struct {
	Kind Kind
	// Address is host:port of the upstream if the attempt is admitted.
	Address string
	// Err is set if the attempt is refused. Its verdict is may-have-run if the attempt is a duplicate of one that may have
	// been admitted.
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
