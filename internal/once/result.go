package once

import (
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Result is the decision on a request with an idempotency key. Exactly one field is set.
type Result struct {
	// Grant allows the caller to dispatch the request.
	Grant *Grant
	// Replay contains the response recorded for the key.
	Replay *Replay
	// Running identifies the holder that may be running the request.
	Running *Running
}

// Replay is a recorded response.
type Replay struct {
	Answer *admission.Answer
}

// Running is a claim without an outcome. Its holder reports its state by Claims.Operation.
type Running struct {
	Service model.ServiceName
	KeyHash string
	Claim   ClaimID
	// Node and Incarnation identify the holder.
	Node        model.NodeID
	Incarnation model.Incarnation
	// Local means that this process is the holder.
	Local    bool
	revision int64
	document document
	request  request
}
