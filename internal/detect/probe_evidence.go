package detect

import (
	"math"
	"time"
)

const (
	// leastProbeShare is the smallest share of failing probes that is believed of a healthy target. Probe results lag
	// and mislead, so a failed probe weighs less than a failed request.
	leastProbeShare = 0.1
	// probePrior is the number of probes that leastProbeShare counts for.
	probePrior = 10
	// workNeeded is the part of the threshold, as a log-likelihood ratio, that only real work can give. It is below the
	// weight of one failed request, so that a target that fails its probes is suspected at its first failed request.
	workNeeded = 4.0
)

// probeEvidence holds what probes say against the target since the last prompt answer to real work. Successful probes
// are not evidence.
type probeEvidence struct {
	total, failures float64
	failed          float64
	start           time.Duration
	ratio           float64
}

// fail adds a failed probe.
func (p *probeEvidence) fail(now time.Duration) {
	if p.failed == 0 {
		p.start = now
	}
	if p.ratio == 0 {
		p.compare(tally{})
	}
	p.failed++
}

// forgive drops the evidence after work that went well.
func (p *probeEvidence) forgive(now time.Duration) {
	p.failed = 0
	p.start = now
}

// compare sets the weight of a failed probe by the share of the other targets' probes that failed.
func (p *probeEvidence) compare(others tally) {
	share := (probePrior*leastProbeShare + others.probeFailures) / (probePrior + others.probes)
	p.ratio = max(0, math.Log(nearlyAll/max(leastProbeShare, share)))
}

// score returns the log-likelihood ratio, bounded so that real work is needed to pass the threshold.
func (p *probeEvidence) score(threshold float64) float64 {
	return min(p.failed*p.ratio, max(0, threshold-workNeeded))
}

// Probe takes in the result of a probe. A failure may count against the target, a success never speaks for it.
func (d *Detector) Probe(now time.Duration, success bool) {
	d.probes.total++
	if success {
		return
	}
	d.probes.failures++
	d.advance(now)
	if d.phase == Healthy {
		d.probes.fail(now)
		d.check(now)
	}
}
