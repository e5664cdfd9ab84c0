package settings

import "time"

// Shutdown sets the graceful shutdown.
type Shutdown struct {
	// Grace is the longest time that requests in flight get before the process exits.
	Grace time.Duration
	// LameDuck is how long the node takes new work of callers after its health answer has changed.
	LameDuck time.Duration
}
