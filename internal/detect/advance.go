package detect

import "time"

// advance applies the phase transitions that depend only on the time.
func (d *Detector) advance(now time.Duration) {
	if d.phase == Suspected && now >= d.holdDown.until {
		d.phase = InTrial
		d.trial.reset()
	}
	if d.phase == Healthy && d.alarm != nil && now-d.alarm.at >= reportTimeout {
		_, cause := d.alarm.score(d.threshold)
		d.markSuspected(now, cause)
	}
	if d.phase == Healthy {
		d.holdDown.decay(now)
	}
}

// markSuspected starts the hold-down. The cause is the index of the hypothesis that fits the evidence.
func (d *Detector) markSuspected(now time.Duration, cause int) {
	d.trial.cause = cause
	d.holdDown.begin(now)
	d.resetEvidence(now, 0)
	d.phase = Suspected
}

// markHealthy ends the trial: the target receives requests normally again.
func (d *Detector) markHealthy(now time.Duration) {
	d.phase = Healthy
	d.holdDown.returned = now
	d.resetEvidence(now, d.parameters.HeadStart)
}

// State returns the state at the given time. It changes nothing apart from the phase transitions that depend only on
// the time.
func (d *Detector) State(now time.Duration) State {
	d.advance(now)
	state := State{Phase: d.phase, Level: d.holdDown.level}
	switch d.phase {
	case Healthy:
		best, index := d.score(d.threshold)
		state.Score = best / d.threshold
		state.AwaitingReports = d.alarm != nil
		if best > 0 {
			state.Hypothesis = faultHypotheses[index].name
		}
	default:
		state.Score = 1
		state.Hypothesis = faultHypotheses[d.trial.cause].name
		state.HoldDownUntil = d.holdDown.until
	}
	return state
}
