package main

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

// result is what one run of a trace shows.
type result struct {
	// firstSuspected is the time from the onset to the first suspicion of the failing target, -1 if there was none.
	firstSuspected time.Duration
	// requests is the number of requests that target 0 got from the onset to that suspicion, or to the end.
	requests int
	// evidence is the number of outcomes, and of requests in flight without progress, that target 0 showed from the onset
	// until the evidence against it was complete.
	evidence int
	// spoilt is the number of requests that failed at target 0 since the onset.
	spoilt int
	// wrong is the number of suspicions of targets that were not failing.
	wrong  int
	length time.Duration
}

// count notes a request that was sent.
func (r *result) count(m moment, outcome detect.Outcome) {
	if !m.fault() {
		return
	}
	if r.firstSuspected < 0 {
		r.requests++
	}
	if outcome.Failed {
		r.spoilt++
	}
}

// suspicion notes that a target became suspected.
func (r *result) suspicion(s scenario, m moment) {
	if !s.failing || !m.fault() {
		r.wrong++
		return
	}
	if r.firstSuspected < 0 {
		r.firstSuspected = m.since
	}
}
