package detect

import (
	"math"
	"time"
)

const (
	// minFailedProbeShare is the smallest share of failed health probes that is assumed for a healthy target.
	// Results of health probes lag and mislead, so a failed health probe weighs less than a failed request.
	minFailedProbeShare = 0.1
	// probePriorWeight is the weight of minFailedProbeShare, as a number of health probes.
	probePriorWeight = 10
	// minRequestEvidence is the part of the threshold, as a log-likelihood ratio, that must come from real requests. It
	// is below the weight of one failed request, so that a target that fails its health probes is suspected at its
	// first failed request.
	minRequestEvidence = 4.0
)

// healthProbeEvidence counts the failed health probes since the last prompt response to a real request. Successful
// health probes are not evidence.
type healthProbeEvidence struct {
	total, failures float64
	failed          float64
	start           time.Duration
	ratio           float64
}

// addFailure adds a failed health probe.
func (p *healthProbeEvidence) addFailure(now time.Duration) {
	if p.failed == 0 {
		p.start = now
	}
	if p.ratio == 0 {
		p.updateRatio(tally{})
	}
	p.failed++
}

// reset discards the evidence after a prompt response to a real request.
func (p *healthProbeEvidence) reset(now time.Duration) {
	p.failed = 0
	p.start = now
}

// updateRatio sets the weight of a failed health probe from the share of the other targets' health probes that failed.
func (p *healthProbeEvidence) updateRatio(others tally) {
	share := (probePriorWeight*minFailedProbeShare + others.failedProbes) / (probePriorWeight + others.healthProbes)
	p.ratio = max(0, math.Log(totalFaultShare/max(minFailedProbeShare, share)))
}

// score returns the log-likelihood ratio, limited so that only real requests can pass the threshold.
func (p *healthProbeEvidence) score(threshold float64) float64 {
	return min(p.failed*p.ratio, max(0, threshold-minRequestEvidence))
}

// ObserveHealthProbe records the result of a health probe. A failure may be evidence against the target; a success is
// never evidence for it.
func (d *Detector) ObserveHealthProbe(now time.Duration, success bool) {
	d.healthProbes.total++
	if success {
		return
	}
	d.healthProbes.failures++
	d.advance(now)
	if d.phase == Healthy {
		d.healthProbes.addFailure(now)
		d.checkThreshold(now)
	}
}
