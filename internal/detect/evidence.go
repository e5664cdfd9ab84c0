package detect

import "time"

// evidence is what speaks against the target.
type evidence struct {
	excursions [hypotheses]excursion
	history    history
	// pending holds the requests in flight that were stalled or silent at the last call of Silence, oldest first.
	pending []pendingRequest
	// withPending holds the sums that start at a pending request.
	withPending [hypotheses]float64
	probes      probeEvidence
}

// weights gives the ratios of a hypothesis for evidence that starts at a time.
type weights func(start time.Duration, hypothesis int) ratios

// scoreOf returns the sum of one hypothesis, with the requests in flight and the probes.
func (e *evidence) scoreOf(i int, threshold float64) float64 {
	sum := max(e.excursions[i].score, e.withPending[i])
	if bank[i].rate == nearlyAll {
		sum += e.probes.score(threshold)
	}
	return sum
}

// score returns the greatest sum and the index of its hypothesis.
func (e *evidence) score(threshold float64) (float64, int) {
	best, at := 0.0, 0
	for i := range e.excursions {
		if sum := e.scoreOf(i, threshold); sum > best {
			best, at = sum, i
		}
	}
	return best, at
}

// compare computes the sums again with what the other targets saw in the same period.
func (e *evidence) compare(now time.Duration, against comparison) {
	for i := range e.excursions {
		if one := &e.excursions[i]; one.score > 0 {
			one.rescore(now, against.since(one.start, i))
		}
	}
	e.weighPending(against.since)
	e.probes.compare(probesSince(against.others, e.probes.start))
}

// weighPending computes the sums with the pending requests. A pending request takes its place at the time at which it
// was sent: outcomes that came in since then count as well, or else a few requests that hang would outweigh the many
// that were answered in the meantime.
func (e *evidence) weighPending(weigh weights) {
	e.withPending = [hypotheses]float64{}
	var counts Counts
	for k := len(e.pending) - 1; k >= 0; k-- {
		counts[e.pending[k].class]++
		start := e.pending[k].since
		total := counts.Plus(e.history.since(start))
		for i := range e.withPending {
			e.withPending[i] = max(e.withPending[i], weigh(start, i).of(total))
		}
	}
	if e.pending == nil {
		return
	}
	for i := range e.excursions {
		if one := &e.excursions[i]; one.score > 0 && one.start <= e.pending[0].since {
			e.withPending[i] = max(e.withPending[i], one.score+weigh(one.start, i).of(counts))
		}
	}
}

// extent returns the start of the evidence under a hypothesis and the number of its outcomes.
func (e *evidence) extent(i int) (time.Duration, float64) {
	one := e.excursions[i]
	if e.withPending[i] <= one.score {
		return one.start, one.counts.Total()
	}
	return min(one.start, e.pending[0].since), e.pendingCounts().Total()
}
