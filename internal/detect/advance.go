package detect

import "time"

// advance makes the changes of phase that time alone brings.
func (d *Detector) advance(now time.Duration) {
	if d.phase == Suspect && now >= d.hold.until {
		d.phase = Trial
		d.trial.begin()
	}
	if d.phase == Healthy && d.claim != nil && now-d.claim.at >= patience {
		_, at := d.claim.score(d.threshold)
		d.suspect(now, at)
	}
	if d.phase == Healthy {
		d.hold.decay(now)
	}
}

// suspect starts the hold-down. The cause is the index of the hypothesis that fits.
func (d *Detector) suspect(now time.Duration, cause int) {
	d.trial.cause = cause
	d.hold.begin(now)
	d.clear(now, 0)
	d.phase = Suspect
}

// acquit returns the target to work.
func (d *Detector) acquit(now time.Duration) {
	d.phase = Healthy
	d.hold.returned = now
	d.clear(now, d.parameters.HeadStart)
}

// State returns the judgement at a time. It changes nothing but the phases that time alone changes.
func (d *Detector) State(now time.Duration) State {
	d.advance(now)
	state := State{Phase: d.phase, Level: d.hold.level}
	switch d.phase {
	case Healthy:
		best, at := d.score(d.threshold)
		state.Score = best / d.threshold
		state.Waiting = d.claim != nil
		if best > 0 {
			state.Hypothesis = bank[at].name
		}
	default:
		state.Score = 1
		state.Hypothesis = bank[d.trial.cause].name
		state.HoldUntil = d.hold.until
	}
	return state
}
