package detect

import "time"

// AskEvery is the interval at which a node asks for reports while the evidence waits for them. It bounds the cost of
// asking and the delay of a decision under load; with little work the regular exchange is as good.
const AskEvery = 100 * time.Millisecond

// State is the detector's judgement at one time.
type State struct {
	Phase Phase
	// Score is the greatest cumulative sum, as a share of the threshold.
	Score float64
	// Waiting means that the evidence has passed the threshold and waits for news from the other targets. The node
	// should ask their nodes for reports at once, and again every AskEvery while it lasts.
	Waiting bool
	// Hypothesis names the way of failing that fits best, empty without evidence.
	Hypothesis string
	// HoldUntil is the time of the first trial in Phase Suspect, 0 otherwise.
	HoldUntil time.Duration
	// Level counts the suspicions that still lengthen the hold-down.
	Level int
}
