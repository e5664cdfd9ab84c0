package dialect

// OwnCaller returns the project's own dialect of callers.
func OwnCaller() Caller {
	return Caller{TimeoutHeader: "Sardinereach-Timeout-Ms", KeyHeader: "Sardinereach-Api-Key", SardinereachHeaders: true}
}

// OwnUpstream returns the project's own dialect of upstreams.
func OwnUpstream() Upstream {
	return Upstream{
		AttemptHeader: "Sardinereach-Attempt",
		TimeoutHeader: "Sardinereach-Timeout-Ms",
		NotRunHeader:  "Sardinereach-Not-Run",
		EchoHeader:    "Sardinereach-Attempt",
		EchoOptional:  true,
		AccountHeader: "Sardinereach-Account",
	}
}
