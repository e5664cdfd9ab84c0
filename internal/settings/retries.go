package settings

import "time"

// RetryWindow is the length of the window in which the admission points count retries.
const RetryWindow = 10 * time.Second

// Retries bounds the retries of a service.
type Retries struct {
	// Share is the number of retries that each request adds to the retry budget, at each node.
	Share float64
	// FleetPerSecond is the number of retries per second that the whole fleet may make in addition to Share.
	FleetPerSecond float64
	// Burst is the maximum number of unused retries that the budget of a node accumulates.
	Burst float64
	// WindowExtra is the number of additional attempts of a service in RetryWindow that are allowed regardless of the number
	// of first attempts. Its admission points share it. If it is above 0, the admission points enforce the retry budget, and
	// FleetPerSecond and Burst are not used.
	WindowExtra float64
	// Statuses are the response statuses after which an idempotent request is retried, on routes that declare none.
	Statuses []int
}
