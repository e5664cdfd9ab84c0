package peer

import (
	"fmt"

	"github.com/sardinereach/sardinereach/internal/model"
)

// ForwardError reports how far a request had progressed when its connection to the admitting node failed.
type ForwardError struct {
	// Sent is false if no part of the request was written, which means that the request was not run.
	Sent bool
	// FrameTimedOut means that the connection delivered no frame within Options.FrameTimeout.
	FrameTimedOut bool
	// HeadReceived means that the head of the response was received.
	HeadReceived bool
	// Incarnation is the incarnation of the admitting node that the request was sent to.
	Incarnation model.Incarnation
	Cause       error
}

// Error implements the error interface.
func (e *ForwardError) Error() string {
	state := "before the request was sent"
	switch {
	case e.HeadReceived:
		state = "while the answer arrived"
	case e.FrameTimedOut:
		state = "while the connection was silent"
	case e.Sent:
		state = "after the request was sent"
	}
	return fmt.Sprintf("peer: forward failed %s: %v", state, e.Cause)
}

// Unwrap returns the cause.
func (e *ForwardError) Unwrap() error { return e.Cause }
