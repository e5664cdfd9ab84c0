package placement

import "time"

const (
	// referenceBytes is the size of a request with its response to which distanceCostShares and maxDomainWaitShare apply.
	referenceBytes = 4 << 10
	// callOverheadBytes is the size of a call between two nodes without the body and the response.
	callOverheadBytes = 600
	// minWeight keeps the transfer cost of a small request from being negligible.
	minWeight = 0.25
	// maxWeight keeps a large request from waiting in its failure domain or region for longer than its latency objective.
	maxWeight = 2.0
)

// Request holds the properties of a request that affect its plan.
type Request struct {
	Idempotent bool
	// Objective is the latency objective: the time within which a response is fully useful.
	Objective time.Duration
	// Bytes is the size of the body plus the average response size of the route.
	Bytes int64
}

// weight returns the cost of a transfer between failure domains, relative to a request of referenceBytes.
func (r *Request) weight() float64 {
	return min(max(float64(r.Bytes+callOverheadBytes)/referenceBytes, minWeight), maxWeight)
}
