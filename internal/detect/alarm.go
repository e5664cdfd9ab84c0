package detect

import "time"

// alarm is a copy of the evidence at the time at which it passed the threshold. The test ends there: later outcomes do
// not change the alarm. Only the comparison with the other targets does.
type alarm struct {
	evidence
	at time.Duration
}

// checkThreshold raises an alarm when the evidence passes the threshold. The target is suspected only after
// CompareWithPeers has compared the evidence with the outcomes of the other targets in the same period.
func (d *Detector) checkThreshold(now time.Duration) {
	if d.alarm != nil {
		return
	}
	if best, _ := d.score(d.threshold); best >= d.threshold {
		d.alarm = &alarm{evidence: d.evidence, at: now}
	}
}
