package quota

import "time"

// Grant holds the permits that a distributor gives to a node.
type Grant struct {
	Permits int
	// NextIn is the time until the next permit if fewer were granted than requests wait, 0 otherwise.
	NextIn time.Duration
}
