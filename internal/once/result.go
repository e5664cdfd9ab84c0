package once

import (
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Result is what a keyed request may do. Exactly one field is set.
type Result struct {
	// Grant allows to dispatch the request.
	Grant *Grant
	// Replay holds the answer that was recorded for the key.
	Replay *Replay
	// Running names the holder under which the request is running.
	Running *Running
}

// Replay is a recorded answer.
type Replay struct {
	Answer *admission.Answer
}

// Running is a claim that has no outcome yet. Its holder is asked with Operation.
type Running struct {
	Service model.ServiceName
	KeyHash string
	Claim   ClaimID
	// Node and Incarnation name the holder.
	Node        model.NodeID
	Incarnation model.Incarnation
	// Local means that this process is the holder.
	Local    bool
	revision int64
	document document
	request  request
}
