package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// work is the part of a record that exists only while the attempt is queued or running.
type work struct {
	request Request
	target  *target
	// started is the active time of admission.
	started time.Duration
	queued  bool
	// queueDeadline is the time on the node's clock until which the request may wait for a slot.
	queueDeadline time.Duration
	// overdue means that the run was counted as a failure of the target because it is overdue.
	overdue bool
	// severelyOverdue means that the run was counted a second time because it is severely overdue.
	severelyOverdue bool
}

// record is the stored state of one attempt. An attempt with a record is never admitted again.
type record struct {
	// work is nil once the attempt has ended.
	work   *work
	answer *Answer
	// awaitedUntil is the time after which the accepting node no longer asks for the answer.
	awaitedUntil time.Duration
	reason       verdict.Reason
	state        State
}

// expiry is the time from which a record or a retained response may be dropped.
type expiry struct {
	attempt model.AttemptID
	at      time.Duration
}
