package settings

import "time"

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	// Grace is the maximum time that requests in flight have to complete before the process exits.
	Grace time.Duration
	// LameDuck is how long the node still accepts new requests after its health endpoint has begun to report the shutdown.
	LameDuck time.Duration
}
