package placement

import "time"

const (
	// referenceBytes is the size of a request with its answer for which the costs of crossing hold.
	referenceBytes = 4 << 10
	// callOverheadBytes is what the exchange between two nodes takes beside the body and the answer.
	callOverheadBytes = 600
	// minWeight keeps a small request from crossing for next to nothing.
	minWeight = 0.25
	// maxWeight keeps a large request from waiting where it is for longer than its objective.
	maxWeight = 2.0
)

// Request is what a plan needs to know of a request.
type Request struct {
	Idempotent bool
	// Objective is the time within which an answer is fully useful.
	Objective time.Duration
	// Bytes is the size of the body and of the usual answer.
	Bytes int64
}

// weight returns how much more than a request of referenceBytes it costs to cross between failure domains.
func (r *Request) weight() float64 {
	return min(max(float64(r.Bytes+callOverheadBytes)/referenceBytes, minWeight), maxWeight)
}
