package detect

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// Detector is the failure detector of one target. The admitting node of the target runs it on all requests to the
// target. It is not safe for concurrent use.
type Detector struct {
	parameters Parameters
	threshold  float64
	healthy    Shares
	ratios     [hypothesisCount]ratios
	evidence
	counts    Counts
	recent    Counts
	baselines map[Route]*latencyBaseline
	// peerBaselines holds the median baseline latency of the other targets.
	peerBaselines map[Route]time.Duration
	// alarm is the alarm that waits for CompareWithPeers, nil if there is none.
	alarm    *alarm
	holdDown holdDown
	phase    Phase
	trial    trial
}

// New returns a detector in the Healthy phase.
func New(policy declaration.Policy, now time.Duration) *Detector {
	d := &Detector{healthy: DefaultShares(), baselines: make(map[Route]*latencyBaseline), holdDown: holdDown{returned: now}}
	d.SetPolicy(policy)
	d.resetEvidence(now, 0)
	return d
}

// SetPolicy changes the error rates and the base hold-down. The evidence is kept.
func (d *Detector) SetPolicy(policy declaration.Policy) {
	d.parameters = ParametersOf(policy)
	d.threshold = d.parameters.threshold()
	d.holdDown.base = d.parameters.HoldDown
	d.setHealthyShares(d.healthy)
}

// setHealthyShares sets the healthy shares that later outcomes are compared with.
func (d *Detector) setHealthyShares(healthy Shares) {
	d.healthy = healthy
	for i := range faultHypotheses {
		d.ratios[i] = faultHypotheses[i].ratiosAgainst(healthy, d.parameters.FailureRate)
	}
}

// resetEvidence discards the evidence. The cumulative sums restart at headStart, a share of the threshold.
func (d *Detector) resetEvidence(now time.Duration, headStart float64) {
	for i := range d.excursions {
		d.excursions[i].restart(now, headStart*d.threshold)
	}
	d.healthProbes = healthProbeEvidence{total: d.healthProbes.total, failures: d.healthProbes.failures, start: now}
	d.pending = nil
	d.pendingScores = [hypothesisCount]float64{}
	d.history = history{}
	d.alarm = nil
}
