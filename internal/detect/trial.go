package detect

import (
	"math"
	"time"
)

const (
	// trialTimeout is the time after which a trial request without an outcome no longer prevents the next one.
	trialTimeout = 30 * time.Second
	// falseReturnRate is the probability of a return for a target that still fails at the policy's failure rate.
	falseReturnRate = 0.05
	// trialFailureRatio is the log-likelihood ratio at which the target fails its trial. Two failed trial requests
	// reach it, one does not.
	trialFailureRatio = 5.0
)

// trialHypotheses holds the indexes of the hypotheses that the trial tests. They have the smallest share of affected
// requests and are therefore the hardest to distinguish from a healthy target.
var trialHypotheses = [...]int{0, 3}

// trial is the sequential test that decides whether a suspected target returns.
type trial struct {
	sums    [len(trialHypotheses)]float64
	running bool
	started time.Duration
	// cause is the index of the hypothesis that made the target suspected.
	cause int
}

// reset discards the results of earlier trial requests.
func (t *trial) reset() {
	t.sums = [len(trialHypotheses)]float64{}
	t.running = false
}

// end records that the running trial request has ended.
func (t *trial) end() { t.running = false }

// BeginTrial reports whether a request may be sent to the target as a trial request now. Only idempotent requests are
// allowed, one at a time. The Outcome of an allowed request must have IsTrial set.
func (d *Detector) BeginTrial(now time.Duration, idempotent bool) bool {
	d.advance(now)
	if d.phase != InTrial || !idempotent {
		return false
	}
	if d.trial.running && now-d.trial.started < trialTimeout {
		return false
	}
	d.trial.running = true
	d.trial.started = now
	return true
}

// accumulateTrial adds the outcome of a request at a target in trial. Requests that the target received because of the
// capacity floor count as well.
func (d *Detector) accumulateTrial(now time.Duration, class Class) {
	passed := true
	for i, h := range trialHypotheses {
		d.trial.sums[i] += d.ratios[h][class]
		if d.trial.sums[i] >= trialFailureRatio {
			d.holdDown.begin(now)
			d.phase = Suspected
			return
		}
		passed = passed && d.trial.sums[i] <= math.Log(falseReturnRate)
	}
	if passed {
		d.markHealthy(now)
	}
}
