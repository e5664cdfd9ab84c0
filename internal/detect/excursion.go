package detect

import "time"

// excursion is the cumulative sum of one hypothesis since it was last zero.
type excursion struct {
	score float64
	// head is the score at which the excursion started.
	head   float64
	start  time.Duration
	counts Counts
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

// restart drops the evidence.
func (e *excursion) restart(now time.Duration, head float64) {
	*e = excursion{score: head, head: head, start: now}
}

// rescore computes the sum again with other ratios.
func (e *excursion) rescore(now time.Duration, r ratios) {
	e.score = e.head + r.of(e.counts)
	if e.score <= 0 {
		e.restart(now, 0)
	}
}
