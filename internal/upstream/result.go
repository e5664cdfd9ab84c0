package upstream

import "time"

// Outcome describes how a request to an upstream ended.
type Outcome uint8

const (
	// Answered means that the complete response was received.
	Answered Outcome = iota
	// Shed means that the upstream declared that it did not run the request.
	Shed
	// Unreachable means that no connection could be opened: the request was not run.
	Unreachable
	// Lost means that the connection failed after the request may have been sent.
	Lost
	// TimedOut means that the deadline or the progress timeout expired after the request may have been sent.
	TimedOut
	// Incomplete means that the response was truncated, that its end is not marked, or that it lacks a required signature.
	Incomplete
	// Cancelled means that the accepting node cancelled the request.
	Cancelled
	// SinkFailed means that the response could not be written to the sink.
	SinkFailed
)

var outcomeNames = [...]string{
	"answered", "shed", "unreachable", "lost", "timed out", "incomplete", "cancelled", "sink failed",
}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the result of a request to an upstream.
type Result struct {
	Outcome Outcome
	// Status is the HTTP status, 0 if no response head was received.
	Status int
	// RetryAfter is the delay that the upstream requested, 0 for none.
	RetryAfter time.Duration
	// FirstByte is the time from the start to the head of the response, 0 if none was received.
	FirstByte time.Duration
	Bytes     int64
	// Reused means that the request was sent on a connection that had carried other requests.
	Reused bool
	// Received means that at least one byte of a response was received, so the connection had not been closed while idle.
	Received bool
	// ConnectionRefused means that the connection was refused, because nothing listens at the upstream's address.
	ConnectionRefused bool
	Err               error
}
