package detect

import (
	"cmp"
	"slices"
	"time"
)

// pendingRequest is a request in flight without progress.
type pendingRequest struct {
	// since is the time at which the request was sent or last made progress.
	since time.Duration
	class Class
}

// findPending returns the requests in flight without progress, oldest first.
func (d *Detector) findPending(now time.Duration, inFlight []InFlight) []pendingRequest {
	var pending []pendingRequest
	for _, request := range inFlight {
		class := classifyInFlight(request, d.peerBaselines[request.Route])
		if class == Unresponsive || (class == Stalled && !request.ColdStart) {
			pending = append(pending, pendingRequest{since: now - max(request.Waiting, request.Idle), class: class})
		}
	}
	slices.SortFunc(pending, func(a, b pendingRequest) int { return cmp.Compare(a.since, b.since) })
	return pending
}

// pendingCounts counts the pending requests by class.
func (e *evidence) pendingCounts() Counts {
	var counts Counts
	for _, request := range e.pending {
		counts[request.class]++
	}
	return counts
}
