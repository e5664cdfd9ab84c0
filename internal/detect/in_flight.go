package detect

import "time"

// InFlight is a request that runs at the target.
type InFlight struct {
	Route Route
	// Waiting is the time since the request was sent if no first byte has come, 0 otherwise.
	Waiting time.Duration
	// Idle is the time since the last byte of the answer if the first one has come, 0 otherwise. Time in which the
	// caller does not read is left out.
	Idle time.Duration
	// Limit is the route's time to the first byte, 0 if it has none.
	Limit time.Duration
	// Warming means that the target is in its cold-start ramp.
	Warming bool
}
