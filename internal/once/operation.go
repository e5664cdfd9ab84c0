package once

import (
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// State is the state of a claim as its holder reports it.
type State uint8

const (
	// StateUnknown means that the holder has no entry for the claim. The entry may have expired.
	StateUnknown State = iota
	// StateRunning means that the request may be running.
	StateRunning
	// StateNotRun means that nothing ran under the claim and nothing ever will.
	StateNotRun
	// StateAnswered means that the request ran and its response is available.
	StateAnswered
	// StateMayHaveRun means that the outcome is unknown, or that the response was not retained.
	StateMayHaveRun
)

// Operation is the state of a claim that its holder reports to a peer.
type Operation struct {
	State State
	// Answer is set with StateAnswered.
	Answer *admission.Answer
	// Reason is set with StateMayHaveRun.
	Reason verdict.Reason
}
