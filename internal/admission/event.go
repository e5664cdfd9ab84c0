package admission

import (
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// EventKind is the kind of a change that no call has returned.
type EventKind uint8

const (
	// EventGranted means that a queued attempt got a slot. Grant is set.
	EventGranted EventKind = iota
	// EventRefused means that a queued attempt was refused. Attempt, Target and Err are set.
	EventRefused
	// EventMissing means that the announcement of a target is overdue. Target is set.
	EventMissing
	// EventFenceDropped means that a fence was removed. Attempt is set.
	EventFenceDropped
	// EventAnswerDropped means that a retained response was dropped before it was acknowledged. Attempt is set.
	EventAnswerDropped
	// EventBreakerTripped means that the circuit breaker of a target has become half-open. Target and Evidence are set.
	EventBreakerTripped
	// EventBreakerClosed means that a half-open breaker has closed after the required successes. Target and Evidence are
	// set.
	EventBreakerClosed
)

// Event is returned by Events and Expire.
type Event struct {
	Kind    EventKind
	Attempt model.AttemptID
	Target  model.TargetID
	Grant   Grant
	Err     *verdict.Error
	// Evidence is the run that tripped or closed the breaker.
	Evidence RunEvidence
}
