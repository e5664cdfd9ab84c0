package admission

import "github.com/sardinereach/sardinereach/internal/verdict"

// State is the state of an attempt at a Point.
type State uint8

const (
	// StateNotAdmitted means that the attempt was never admitted. If it is fenced, it never will be.
	StateNotAdmitted State = iota
	// StateRunning means that the attempt has a slot or is queued for one.
	StateRunning
	// StateAnswered means that the attempt ended with a response that is retained.
	StateAnswered
	// StateEnded means that the attempt may have run and no response is retained.
	StateEnded
	// StateLost means that the upstream was lost while the attempt may have been running.
	StateLost
	// StateRefused means that the attempt was not run and never will be.
	StateRefused
	// StateUnknownIncarnation means that the lookup was for another incarnation of the node.
	StateUnknownIncarnation
)

// Status is the result of a Lookup.
type Status struct {
	State State
	// Fenced is set with StateNotAdmitted: the attempt will never be admitted.
	Fenced bool
	// Queued is set with StateRunning if the attempt is queued for a slot.
	Queued bool
	// Reason is set with StateRefused.
	Reason verdict.Reason
	// Answer is set with StateAnswered.
	Answer *Answer
}
