package settings

import "time"

// RetryWindow is the length of the span in which the admission points count repeats.
const RetryWindow = 10 * time.Second

// Retries bounds the retries of a service.
type Retries struct {
	// Share is the number of retries that each request adds, at each node.
	Share float64
	// FleetPerSecond is the number of retries a second that the whole fleet may make without requests to earn them.
	FleetPerSecond float64
	// Burst is the number of retries that a node can save up.
	Burst float64
	// WindowExtra is the number of repeats of a service in RetryWindow that need no first attempts, shared by its admission
	// points. Above 0 the admission points keep the budget, and FleetPerSecond and Burst are not used.
	WindowExtra float64
	// Statuses are the statuses of answers to idempotent requests that are retried on routes that name none.
	Statuses []int
}
