package once

import "time"

// dispatch is the state machine that decides whether the holder of a claim may send the request.
type dispatch struct {
	deadline time.Time
	// outstanding means that the request was sent and may be running.
	outstanding bool
	// ended means that the claim was released or has an outcome.
	ended bool
}

func (d *dispatch) allowed(now time.Time) bool {
	return !d.ended && !d.outstanding && now.Before(d.deadline)
}

// begin reports whether the request may be sent, and if so marks it as sent.
func (d *dispatch) begin(now time.Time) bool {
	if !d.allowed(now) {
		return false
	}
	d.outstanding = true
	return true
}

// markNotRun records that the dispatched request did not run, so that it may be sent again.
func (d *dispatch) markNotRun() {
	if !d.ended {
		d.outstanding = false
	}
}

// release ends the claim without an outcome. It returns false if the request may have run or the claim has ended.
func (d *dispatch) release() bool {
	if d.ended || d.outstanding {
		return false
	}
	d.ended = true
	return true
}

// end ends the claim with an outcome. It returns false if the claim has already ended.
func (d *dispatch) end() bool {
	if d.ended {
		return false
	}
	d.ended = true
	return true
}
