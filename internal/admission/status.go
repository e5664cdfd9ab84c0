package admission

import "github.com/sardinereach/sardinereach/internal/verdict"

// State is what a Point knows of an attempt.
type State uint8

const (
	// StateNotAdmitted means that the attempt was never admitted. If it is fenced, it never will be.
	StateNotAdmitted State = iota
	// StateRunning means that the attempt has a slot, or waits for one.
	StateRunning
	// StateAnswered means that the attempt ended with an answer that is held.
	StateAnswered
	// StateEnded means that the attempt may have run and no answer is held any more.
	StateEnded
	// StateLost means that the upstream was lost while the attempt may have been running.
	StateLost
	// StateRefused means that the attempt was not run and never will be.
	StateRefused
	// StateUnknownIncarnation means that the node is not the incarnation that was asked for.
	StateUnknownIncarnation
)

// Status is the answer to a Lookup.
type Status struct {
	State State
	// Fenced is set with StateNotAdmitted: the attempt will never be admitted.
	Fenced bool
	// Queued is set with StateRunning if the attempt waits for a slot.
	Queued bool
	// Reason is set with StateRefused.
	Reason verdict.Reason
	// Answer is set with StateAnswered.
	Answer *Answer
}
