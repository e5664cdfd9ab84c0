package placement

import "time"

// Refusal is what an admission point said when it did not take a request.
type Refusal struct {
	// Full means that no slot is free. Wait is the expected wait for one.
	Full bool
	Wait time.Duration
	// RequiredSuccesses is the number of good answers that a doubtful target still needs, 0 for one that is not doubtful.
	RequiredSuccesses int
}
