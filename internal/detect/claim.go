package detect

import "time"

// claim is the evidence at the time at which it passed the threshold. The test ends there; what comes in later does not
// change it, apart from the comparison with the other targets.
type claim struct {
	evidence
	at time.Duration
}

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
