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
	// EventDoubted means that a target has become doubtful. Target and Evidence are set.
	EventDoubted
	// EventTrusted means that a doubtful target has given the good answers that it needed. Target and Evidence are set.
	EventTrusted
)

// Event is returned by Expire.
type Event struct {
	Kind    EventKind
	Attempt model.AttemptID
	Target  model.TargetID
	Grant   Grant
	Err     *verdict.Error
	// Evidence is the run that changed the judgement of the target.
	Evidence Evidence
}
