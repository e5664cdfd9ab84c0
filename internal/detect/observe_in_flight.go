package detect

import "time"

// ObserveInFlight records the requests in flight. Requests without progress are evidence against the target for as long
// as they stay in flight without progress. Each call replaces the requests of the previous call.
func (d *Detector) ObserveInFlight(now time.Duration, inFlight ...InFlight) {
	d.advance(now)
	d.pending = d.findPending(now, inFlight)
	if d.phase != Healthy {
		return
	}
	d.scorePending(d.currentRatios)
	d.checkThreshold(now)
}

// currentRatios is the ratioFunc of the current healthy shares.
func (d *Detector) currentRatios(_ time.Duration, hypothesis int) ratios { return d.ratios[hypothesis] }
