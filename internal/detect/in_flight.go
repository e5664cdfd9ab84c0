package detect

import "time"

// InFlight is the progress of a request that the target is running.
type InFlight struct {
	Route Route
	// Waiting is the time since the request was sent while no byte of the response has been received, 0 afterwards.
	Waiting time.Duration
	// Idle is the time since the last byte of the response once the first one has been received, 0 before. Time in
	// which the caller does not read is not counted.
	Idle time.Duration
	// Limit is the route's timeout for the first byte, 0 if it has none.
	Limit time.Duration
	// ColdStart means that the target is in its slow-start ramp.
	ColdStart bool
}
