package admission

import (
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// EventKind says what happened without a call that returned it.
type EventKind uint8

const (
	// EventGranted means that a queued attempt got a slot. Grant is set.
	EventGranted EventKind = iota
	// EventRefused means that a queued attempt was refused. Attempt, Target and Err are set.
	EventRefused
	// EventMissing means that a target has not announced itself in time. Target is set.
	EventMissing
	// EventFenceDropped means that a fence was dropped. Attempt is set.
	EventFenceDropped
	// EventAnswerDropped means that an answer was dropped before it was collected. Attempt is set.
	EventAnswerDropped
)

// Event is returned by Expire.
type Event struct {
	Kind    EventKind
	Attempt model.AttemptID
	Target  model.TargetID
	Grant   Grant
	Err     *verdict.Error
}
