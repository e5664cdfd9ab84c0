package placement

import "time"

// Refusal is the response of an admission point that refused a request.
type Refusal struct {
	// Full means that no slot is free. Wait is the expected wait for one.
	Full bool
	Wait time.Duration
	// Free is the number of free slots that the target keeps from requests that do not wait, because it has not answered its
	// last runs.
	Free int
	// RequiredSuccesses is the number of successes that the target's half-open circuit breaker needs to close, 0 if it is
	// closed.
	RequiredSuccesses int
}
