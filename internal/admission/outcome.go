package admission

// Outcome is how an admitted attempt ended.
type Outcome uint8

const (
	// Answered means that the upstream sent a complete response.
	Answered Outcome = iota
	// Shed means that the upstream reported that it did not run the request.
	Shed
	// Lost means that the upstream failed while the request may have been running.
	Lost
	// Unreachable means that no connection to the upstream was opened, so that the request was not run.
	Unreachable
	// Withdrawn means that the attempt ended before it was sent to the upstream, so that it was not run.
	Withdrawn
	// Cancelled means that the caller or a deadline ended the attempt while it may have been running.
	Cancelled
)

// Result is the end of an admitted attempt.
type Result struct {
	Outcome Outcome
	// Failed means that the result is a failure of the target, by its status or otherwise.
	Failed bool
	// Answer is the response to retain if the outcome is Answered; nil retains nothing.
	Answer *Answer
}
