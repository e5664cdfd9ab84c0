package detect

import "time"

// recentDecay is the factor on the weight of an outcome for each later one; about the last 8 count.
const recentDecay = 1 - 1.0/8

// Observe takes in the end of a request.
func (d *Detector) Observe(now time.Duration, outcome Outcome) {
	if outcome.Trial {
		d.trial.end()
	}
	if !outcome.evidence() {
		return
	}
	class, ok := d.classify(outcome)
	if !ok {
		return
	}
	d.learnUsual(outcome)
	d.counts[class]++
	d.recent = d.recent.Times(recentDecay)
	d.recent[class]++
	d.advance(now)
	switch d.phase {
	case Healthy:
		d.accumulate(now, class)
	case Trial:
		d.judgeTrial(now, class)
	}
}

// classify returns the class of an outcome, and false if the target is warming and merely slow.
func (d *Detector) classify(outcome Outcome) (Class, bool) {
	if outcome.Failed {
		return Failed, true
	}
	class := ClassOf(outcome.FirstByte, d.peerUsual[outcome.Route])
	if outcome.Warming && (class == Slow || class == Stalled) {
		return class, false
	}
	return class, true
}

// learnUsual adds an answer to the usual time of its route.
func (d *Detector) learnUsual(outcome Outcome) {
	if outcome.Failed || outcome.Warming || outcome.FirstByte <= 0 {
		return
	}
	u := d.usual[outcome.Route]
	if u == nil {
		if len(d.usual) >= maxRoutes {
			return
		}
		u = new(usual)
		d.usual[outcome.Route] = u
	}
	u.add(outcome.FirstByte)
}

// accumulate adds one outcome to every sum.
func (d *Detector) accumulate(now time.Duration, class Class) {
	if class == Prompt {
		d.probes.forgive(now)
	}
	for i := range d.excursions {
		d.excursions[i].add(now, class, d.ratios[i])
	}
	d.history.add(now, class)
	if d.pending != nil {
		d.weighPending(d.weights)
	}
	d.check(now)
}
