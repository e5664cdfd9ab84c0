package detect

import (
	"cmp"
	"slices"
	"time"
)

// pendingRequest is a request in flight that does not progress.
type pendingRequest struct {
	// since is the time at which it was sent or last made progress.
	since time.Duration
	class Class
}

// pendingAmong returns the requests in flight that do not progress, oldest first.
func (d *Detector) pendingAmong(now time.Duration, inFlight []InFlight) []pendingRequest {
	var pending []pendingRequest
	for _, request := range inFlight {
		class := judgeInFlight(request, d.peerUsual[request.Route])
		if class == Silent || (class == Stalled && !request.Warming) {
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
