package once

import (
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// State is what the holder of a claim knows of it.
type State uint8

const (
	// StateUnknown means that the holder does not know the claim, or not any more.
	StateUnknown State = iota
	// StateRunning means that the request may be running.
	StateRunning
	// StateNotRun means that nothing ran under the claim and nothing ever will.
	StateNotRun
	// StateAnswered means that the request was answered. The answer is set.
	StateAnswered
	// StateMayHaveRun means that the outcome is not known, or that the answer is not held any more.
	StateMayHaveRun
)

// Operation is the answer of a claim's holder to a peer.
type Operation struct {
	State State
	// Answer is set with StateAnswered.
	Answer *admission.Answer
	// Reason is set with StateMayHaveRun.
	Reason verdict.Reason
}
