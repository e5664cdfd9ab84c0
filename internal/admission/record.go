package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// work is the part of a record that is needed until the attempt has ended.
type work struct {
	request Request
	target  *target
	// started is the active time of admission.
	started time.Duration
	queued  bool
	// leaveAt is the time on the node's clock until which the request waits for a slot.
	leaveAt time.Duration
	// overdue means that the run was counted against the target because it takes too long.
	overdue bool
	// silent means that the run has taken so long that it has counted twice.
	silent bool
}

// record is what the point knows of one attempt. An attempt with a record is never admitted again.
type record struct {
	// work is nil once the attempt has ended.
	work   *work
	answer *Answer
	reason verdict.Reason
	state  State
}

// expiry orders records and held answers by the time at which they may be dropped.
type expiry struct {
	attempt model.AttemptID
	at      time.Duration
}
