package detect

import "time"

// recentDecay is the factor by which each new outcome reduces the weight of the earlier ones; about the last 8 count.
const recentDecay = 1 - 1.0/8

// Observe records the outcome of a request.
func (d *Detector) Observe(now time.Duration, outcome Outcome) {
	if outcome.IsTrial {
		d.trial.end()
	}
	if !outcome.isEvidence() {
		return
	}
	class, ok := d.classify(outcome)
	if !ok {
		return
	}
	d.updateBaseline(outcome)
	d.counts[class]++
	d.recent = d.recent.Times(recentDecay)
	d.recent[class]++
	d.advance(now)
	switch d.phase {
	case Healthy:
		d.accumulate(now, class)
	case InTrial:
		d.accumulateTrial(now, class)
	}
}

// classify returns the class of an outcome, and false if the outcome is only slow and the target is in a cold start.
func (d *Detector) classify(outcome Outcome) (Class, bool) {
	if outcome.Failed {
		return Failed, true
	}
	class := ClassOf(outcome.FirstByte, d.peerBaselines[outcome.Route])
	if outcome.ColdStart && (class == Slow || class == Stalled) {
		return class, false
	}
	return class, true
}

// updateBaseline adds a response to the baseline latency of its route.
func (d *Detector) updateBaseline(outcome Outcome) {
	if outcome.Failed || outcome.ColdStart || outcome.FirstByte <= 0 {
		return
	}
	b := d.baselines[outcome.Route]
	if b == nil {
		if len(d.baselines) >= maxRoutes {
			return
		}
		b = new(latencyBaseline)
		d.baselines[outcome.Route] = b
	}
	b.add(outcome.FirstByte)
}

// accumulate adds one outcome to the sums of all hypotheses.
func (d *Detector) accumulate(now time.Duration, class Class) {
	if class == Prompt {
		d.healthProbes.reset(now)
	}
	for i := range d.excursions {
		d.excursions[i].add(now, class, d.ratios[i])
	}
	d.history.add(now, class)
	if d.pending != nil {
		d.scorePending(d.currentRatios)
	}
	d.checkThreshold(now)
}
