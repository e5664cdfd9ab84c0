package detect

import (
	"math"
	"time"
)

const (
	// trialTimeout is the time after which a trial that was never ended no longer keeps others from starting.
	trialTimeout = 30 * time.Second
	// acquitRate is the probability that a target that still fails at the policy's failure rate returns.
	acquitRate = 0.05
	// convictRatio is the log-likelihood ratio at which the trials fail. Two failed trials reach it, one does not.
	convictRatio = 5.0
)

// trialHypotheses are the indexes of the hypotheses that the trials test: the ones with the smallest share of spoilt
// requests, which are the hardest to tell from a healthy target.
var trialHypotheses = [...]int{0, 3}

// trial is the sequential test by which a target returns.
type trial struct {
	sums    [len(trialHypotheses)]float64
	running bool
	started time.Duration
	// cause is the index of the hypothesis that made the target suspect.
	cause int
}

// begin drops the results of earlier trials.
func (t *trial) begin() {
	t.sums = [len(trialHypotheses)]float64{}
	t.running = false
}

// end notes that the running trial ended.
func (t *trial) end() { t.running = false }

// BeginTrial reports whether the target may get a request as a trial now. Only idempotent requests may be trials, one
// at a time. A request that was allowed ends with an Outcome that has Trial set.
func (d *Detector) BeginTrial(now time.Duration, idempotent bool) bool {
	d.advance(now)
	if d.phase != Trial || !idempotent {
		return false
	}
	if d.trial.running && now-d.trial.started < trialTimeout {
		return false
	}
	d.trial.running = true
	d.trial.started = now
	return true
}

// judgeTrial takes in work of a target that is on trial. Work that the target got because of the floor counts as well.
func (d *Detector) judgeTrial(now time.Duration, class Class) {
	acquitted := true
	for i, h := range trialHypotheses {
		d.trial.sums[i] += d.ratios[h][class]
		if d.trial.sums[i] >= convictRatio {
			d.hold.begin(now)
			d.phase = Suspect
			return
		}
		acquitted = acquitted && d.trial.sums[i] <= math.Log(acquitRate)
	}
	if acquitted {
		d.acquit(now)
	}
}
