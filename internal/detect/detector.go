package detect

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// Detector judges one target. The admitting node of the target has one for all its work. It is not safe for concurrent
// use.
type Detector struct {
	parameters Parameters
	threshold  float64
	healthy    Shares
	ratios     [hypotheses]ratios
	evidence
	counts Counts
	recent Counts
	usual  map[Route]*usual
	// peerUsual holds the other targets' usual times.
	peerUsual map[Route]time.Duration
	// claim is the evidence that passed the threshold and waits for Baseline, nil if there is none.
	claim *claim
	hold  holdDown
	phase Phase
	trial trial
}

// New returns the detector of a target that is held to be healthy.
func New(policy declaration.Policy, now time.Duration) *Detector {
	d := &Detector{healthy: DefaultShares(), usual: make(map[Route]*usual), hold: holdDown{returned: now}}
	d.SetPolicy(policy)
	d.clear(now, 0)
	return d
}

// SetPolicy changes the error rates. The evidence is kept.
func (d *Detector) SetPolicy(policy declaration.Policy) {
	d.parameters = ParametersOf(policy)
	d.threshold = d.parameters.threshold()
	d.hold.base = d.parameters.HoldDown
	d.adopt(d.healthy)
}

// adopt takes healthy shares for the outcomes that follow.
func (d *Detector) adopt(healthy Shares) {
	d.healthy = healthy
	for i := range bank {
		d.ratios[i] = bank[i].against(healthy, d.parameters.FailureRate)
	}
}

// clear drops the evidence. The head is the share of the threshold at which the sums start.
func (d *Detector) clear(now time.Duration, head float64) {
	for i := range d.excursions {
		d.excursions[i].restart(now, head*d.threshold)
	}
	d.probes = probeEvidence{total: d.probes.total, failures: d.probes.failures, start: now}
	d.pending = nil
	d.withPending = [hypotheses]float64{}
	d.history = history{}
	d.claim = nil
}
