package detect

import "time"

// State is the detector's judgement at one time.
type State struct {
	Phase Phase
	// Score is the greatest cumulative sum, as a share of the threshold. 1 or more with Phase Healthy means that the
	// evidence waits for what the other targets saw in the same period.
	Score float64
	// Hypothesis names the way of failing that fits best, empty without evidence.
	Hypothesis string
	// HoldUntil is the time of the first trial in Phase Suspect, 0 otherwise.
	HoldUntil time.Duration
	// Level counts the suspicions that still lengthen the hold-down.
	Level int
}
