package detect

import "time"

// excursion is the cumulative sum of one hypothesis since it was last zero.
type excursion struct {
	score float64
	// initial is the score at which the excursion started.
	initial float64
	start   time.Duration
	counts  Counts
}

// add adds one outcome.
func (e *excursion) add(now time.Duration, class Class, r ratios) {
	if e.score <= 0 {
		e.restart(now, 0)
	}
	e.counts[class]++
	e.score += r[class]
	if e.score <= 0 {
		e.restart(now, 0)
	}
}

// restart discards the sum and its counts.
func (e *excursion) restart(now time.Duration, initial float64) {
	*e = excursion{score: initial, initial: initial, start: now}
}

// rescore recomputes the sum with the given ratios.
func (e *excursion) rescore(now time.Duration, r ratios) {
	e.score = e.initial + r.sum(e.counts)
	if e.score <= 0 {
		e.restart(now, 0)
	}
}
