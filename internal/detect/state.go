package detect

import "time"

// ReportRequestInterval is the interval at which a node requests reports while an alarm waits for them. It limits the
// cost of these requests and the delay of a decision under load. With little traffic, regular gossip is as fast.
const ReportRequestInterval = 100 * time.Millisecond

// State is the state of the detector at one time.
type State struct {
	Phase Phase
	// Score is the greatest cumulative sum, as a share of the threshold.
	Score float64
	// AwaitingReports means that the evidence has passed the threshold and waits for reports about the other targets.
	// The node should request reports from their nodes at once, and again at each ReportRequestInterval while it lasts.
	AwaitingReports bool
	// Hypothesis names the fault hypothesis that fits the evidence best, empty without evidence.
	Hypothesis string
	// HoldDownUntil is the time at which the hold-down ends, 0 in the Healthy phase.
	HoldDownUntil time.Duration
	// Level counts the suspicions that still lengthen the hold-down. Each one after the first doubles it.
	Level int
}
