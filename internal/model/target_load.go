package model

import "time"

// TargetLoad is how much room a target had at a moment.
type TargetLoad struct {
	// Free is the number of free slots, 0 if requests wait.
	Free int
	// Wait is the expected wait for a slot.
	Wait time.Duration
	// RequiredSuccesses is the number of good answers that a doubtful target needs, 0 for one that is not doubtful.
	RequiredSuccesses int
	// At is the moment, on the clock of the node that holds the value.
	At time.Duration
}
