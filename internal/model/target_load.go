package model

import "time"

// TargetLoad is the free capacity and the breaker state of a target at one moment.
type TargetLoad struct {
	// Free is the number of free slots, 0 if requests are queued.
	Free int
	// Wait is the expected wait for a slot.
	Wait time.Duration
	// RequiredSuccesses is the number of successes that the half-open circuit breaker needs to close, 0 if it is closed.
	RequiredSuccesses int
	// At is the time of the observation, on the clock of the node that stores the value.
	At time.Duration
}
