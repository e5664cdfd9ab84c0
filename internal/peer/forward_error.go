package peer

import (
	"fmt"

	"github.com/sardinereach/sardinereach/internal/model"
)

// ForwardError says how far a request got on its way to the admitting node.
type ForwardError struct {
	// Sent is false if no part of the request was written, so that it was not run.
	Sent bool
	// Silent means that the connection delivered no frame in time.
	Silent bool
	// HeadSeen means that the answer had begun.
	HeadSeen bool
	// Incarnation is the incarnation of the admitting node that the request was sent to.
	Incarnation model.Incarnation
	Cause       error
}

// Error implements the error interface.
func (e *ForwardError) Error() string {
	state := "before the request was sent"
	switch {
	case e.HeadSeen:
		state = "while the answer arrived"
	case e.Silent:
		state = "while the connection was silent"
	case e.Sent:
		state = "after the request was sent"
	}
	return fmt.Sprintf("peer: forward failed %s: %v", state, e.Cause)
}

// Unwrap returns the cause.
func (e *ForwardError) Unwrap() error { return e.Cause }
