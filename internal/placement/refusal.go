package placement

import "time"

// Refusal is the response of an admission point that refused a request.
type Refusal struct {
	// Full means that no slot is free. Wait is the expected wait for one.
	Full bool
	Wait time.Duration
	// RequiredSuccesses is the number of successes that the target's half-open circuit breaker needs to close, 0 if it is
	// closed.
	RequiredSuccesses int
}
