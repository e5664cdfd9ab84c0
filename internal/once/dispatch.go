package once

import "time"

// dispatch is the state machine that decides whether the holder of a claim may send the request.
type dispatch struct {
	deadline time.Time
	// outstanding means that the request was sent and may be running.
	outstanding bool
	// over means that the claim is released or has its outcome.
	over bool
}

func (d *dispatch) allowed(now time.Time) bool {
	return !d.over && !d.outstanding && now.Before(d.deadline)
}

// begin marks the request as sent and reports whether it may be.
func (d *dispatch) begin(now time.Time) bool {
	if !d.allowed(now) {
		return false
	}
	d.outstanding = true
	return true
}

// notRun takes in that the request that was sent was not run.
func (d *dispatch) notRun() {
	if !d.over {
		d.outstanding = false
	}
}

// release ends the claim without a run and reports whether nothing can have run.
func (d *dispatch) release() bool {
	if d.over || d.outstanding {
		return false
	}
	d.over = true
	return true
}

// end ends the claim with an outcome and reports whether it had none.
func (d *dispatch) end() bool {
	if d.over {
		return false
	}
	d.over = true
	return true
}
