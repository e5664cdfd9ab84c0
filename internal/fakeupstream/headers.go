package fakeupstream

// Headers of the protocol between node and upstream.
const (
	// HeaderNotRun on a response declares that the request was not run.
	HeaderNotRun = "Sardinereach-Not-Run"
	// HeaderAttempt is the attempt ID of a request.
	HeaderAttempt = "Sardinereach-Attempt"
)

// Headers that only the fake upstream uses.
const (
	// HeaderRequest is a token that a client sets. Responses return it, and the Content of a body depends on it.
	HeaderRequest = "Fake-Request"
	// HeaderOperation names the operation of a non-idempotent request.
	HeaderOperation = "Fake-Operation"
	// HeaderTarget on a response names the target that ran the request.
	HeaderTarget = "Fake-Target"
	// HeaderPoison on a request crashes the process, unless Faults.IgnorePoison is set.
	HeaderPoison = "Fake-Poison"
	// HeaderWorkMS on a request is how long the request takes, in milliseconds.
	HeaderWorkMS = "Fake-Work-Ms"
)
