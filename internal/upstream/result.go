package upstream

import "time"

// Outcome says how a request at an upstream ended.
type Outcome uint8

const (
	// Answered means that the whole answer was received.
	Answered Outcome = iota
	// Shed means that the upstream declared that it did not run the request.
	Shed
	// Unreachable means that no connection could be opened: the request was not run.
	Unreachable
	// Lost means that the connection broke after the request may have been sent.
	Lost
	// TimedOut means that the deadline passed after the request may have been sent.
	TimedOut
	// Incomplete means that the answer began but did not end, or that its end cannot be told.
	Incomplete
	// Cancelled means that the accepting node no longer wants the answer.
	Cancelled
	// SinkFailed means that the answer could not be passed on.
	SinkFailed
)

var outcomeNames = [...]string{
	"answered", "shed", "unreachable", "lost", "timed out", "incomplete", "cancelled", "sink failed",
}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the end of a request at an upstream.
type Result struct {
	Outcome Outcome
	// Status is the HTTP status, 0 without a head.
	Status int
	// RetryAfter is the wait that the upstream asked for, 0 for none.
	RetryAfter time.Duration
	// FirstByte is the time from the start to the head of the answer, 0 without a head.
	FirstByte time.Duration
	Bytes     int64
	// Reused means that the request went over a connection that had carried others.
	Reused bool
	// Refused means that the upstream's address refused the connection: nothing listens there.
	Refused bool
	Err     error
}
