package main

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

// run is one request at a target.
type run struct {
	target  int
	sent    time.Duration
	outcome detect.Outcome
}

// inFlight returns the request as the admitting node sees it now.
func (r *run) inFlight(now time.Duration) detect.InFlight {
	seen := detect.InFlight{Route: r.outcome.Route, Limit: firstByteLimit, ColdStart: r.outcome.ColdStart}
	if r.outcome.FirstByte == 0 || now-r.sent < r.outcome.FirstByte {
		seen.Waiting = now - r.sent
	}
	return seen
}
