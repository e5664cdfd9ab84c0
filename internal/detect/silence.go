package detect

import "time"

// Silence takes in the requests in flight. Those that do not progress count against the target for as long as they
// stay in flight without progress; each call replaces the one before.
func (d *Detector) Silence(now time.Duration, inFlight ...InFlight) {
	d.advance(now)
	d.pending = d.pendingAmong(now, inFlight)
	if d.phase != Healthy {
		return
	}
	d.weighPending(d.weights)
	d.check(now)
}

// weights returns the ratios that are in force.
func (d *Detector) weights(_ time.Duration, hypothesis int) ratios { return d.ratios[hypothesis] }
