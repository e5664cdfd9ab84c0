package main

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

// request is one request at a target.
type request struct {
	target  int
	sent    time.Duration
	outcome detect.Outcome
}

// inFlight returns the progress that the admitting node observes now.
func (r *request) inFlight(now time.Duration) detect.InFlight {
	progress := detect.InFlight{Route: r.outcome.Route, Limit: firstByteTimeout, ColdStart: r.outcome.ColdStart}
	if r.outcome.FirstByte == 0 || now-r.sent < r.outcome.FirstByte {
		progress.Waiting = now - r.sent
	}
	return progress
}
