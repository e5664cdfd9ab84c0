package fakeupstream

// Headers of the protocol between node and upstream.
const (
	// HeaderNotRun on an answer declares that no work was done.
	HeaderNotRun = "Sardinereach-Not-Run"
	// HeaderAttempt is the attempt that a request belongs to.
	HeaderAttempt = "Sardinereach-Attempt"
)

// Headers of the fake itself.
const (
	// HeaderRequest is a token that a client sets. Answers carry it back, and bodies depend on it.
	HeaderRequest = "Fake-Request"
	// HeaderOperation names the operation of a non-idempotent request.
	HeaderOperation = "Fake-Operation"
	// HeaderTarget on an answer names the target that ran the request.
	HeaderTarget = "Fake-Target"
	// HeaderPoison on a request crashes the process, unless Faults.IgnorePoison is set.
	HeaderPoison = "Fake-Poison"
	// HeaderWorkMS on a request is how long the request takes, in milliseconds.
	HeaderWorkMS = "Fake-Work-Ms"
)
