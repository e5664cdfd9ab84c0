package detect

import "time"

// evidence holds the test statistics of the target since the last reset.
type evidence struct {
	excursions [hypothesisCount]excursion
	history    history
	// pending holds the requests in flight that were stalled or unresponsive at the last call of ObserveInFlight,
	// oldest first.
	pending []pendingRequest
	// pendingScores holds, for each hypothesis, the greatest sum that includes pending requests.
	pendingScores [hypothesisCount]float64
	healthProbes  healthProbeEvidence
}

// ratioFunc returns the ratios of a hypothesis for evidence that starts at the given time.
type ratioFunc func(start time.Duration, hypothesis int) ratios

// scoreOf returns the sum of one hypothesis, including the requests in flight and the health probes.
func (e *evidence) scoreOf(i int, threshold float64) float64 {
	sum := max(e.excursions[i].score, e.pendingScores[i])
	if faultHypotheses[i].affectedShare == totalFaultShare {
		sum += e.healthProbes.score(threshold)
	}
	return sum
}

// score returns the greatest sum and the index of its hypothesis.
func (e *evidence) score(threshold float64) (float64, int) {
	best, index := 0.0, 0
	for i := range e.excursions {
		if sum := e.scoreOf(i, threshold); sum > best {
			best, index = sum, i
		}
	}
	return best, index
}

// compare computes the sums again with the outcomes of the other targets in the same period.
func (e *evidence) compare(now time.Duration, ref reference) {
	for i := range e.excursions {
		if exc := &e.excursions[i]; exc.score > 0 {
			exc.rescore(now, ref.ratiosSince(exc.start, i))
		}
	}
	e.scorePending(ref.ratiosSince)
	e.healthProbes.updateRatio(healthProbesSince(ref.others, e.healthProbes.start))
}

// scorePending computes the sums with the pending requests. A pending request counts from the time at which it was sent
// or last made progress. The outcomes received since then count as well; otherwise a few hanging requests would
// outweigh the many that completed in the meantime.
func (e *evidence) scorePending(ratiosFor ratioFunc) {
	e.pendingScores = [hypothesisCount]float64{}
	var counts Counts
	for k := len(e.pending) - 1; k >= 0; k-- {
		counts[e.pending[k].class]++
		start := e.pending[k].since
		total := counts.Plus(e.history.since(start))
		for i := range e.pendingScores {
			e.pendingScores[i] = max(e.pendingScores[i], ratiosFor(start, i).sum(total))
		}
	}
	if e.pending == nil {
		return
	}
	for i := range e.excursions {
		if exc := &e.excursions[i]; exc.score > 0 && exc.start <= e.pending[0].since {
			e.pendingScores[i] = max(e.pendingScores[i], exc.score+ratiosFor(exc.start, i).sum(counts))
		}
	}
}

// extent returns the start of the evidence under a hypothesis and the number of its outcomes.
func (e *evidence) extent(i int) (time.Duration, float64) {
	exc := e.excursions[i]
	if e.pendingScores[i] <= exc.score {
		return exc.start, exc.counts.Total()
	}
	return min(exc.start, e.pending[0].since), e.pendingCounts().Total()
}
