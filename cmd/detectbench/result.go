package main

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

// result is the result of one trace.
type result struct {
	// detectionDelay is the time from the onset to the first suspicion of the failing target, -1 if there was none.
	detectionDelay time.Duration
	// requests is the number of requests that target 0 received from the onset to that suspicion, or to the end.
	requests int
	// evidence is the number of outcomes of target 0, plus its stalled requests in flight, from the onset until its
	// detector last started to wait for reports before the suspicion.
	evidence int
	// failedRequests is the number of requests that failed at target 0 after the onset.
	failedRequests int
	// falseEjections is the number of times that a target without a fault became suspected.
	falseEjections int
	length         time.Duration
}

// countRequest counts a request that was sent.
func (r *result) countRequest(c drawContext, outcome detect.Outcome) {
	if !c.isFaulty() {
		return
	}
	if r.detectionDelay < 0 {
		r.requests++
	}
	if outcome.Failed {
		r.failedRequests++
	}
}

// countSuspicion counts a target that became suspected.
func (r *result) countSuspicion(s scenario, c drawContext) {
	if !s.failing || !c.isFaulty() {
		r.falseEjections++
		return
	}
	if r.detectionDelay < 0 {
		r.detectionDelay = c.sinceOnset
	}
}
