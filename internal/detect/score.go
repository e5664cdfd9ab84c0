package detect

import "time"

// check notes when the evidence passes the threshold. The target is suspected only after Baseline has compared the
// evidence with what the other targets saw in the same period.
func (d *Detector) check(now time.Duration) {
	if d.claim != nil {
		return
	}
	if best, _ := d.score(d.threshold); best >= d.threshold {
		d.claim = &claim{evidence: d.evidence, at: now}
	}
}

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
