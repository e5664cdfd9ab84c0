package dialect

// OwnCaller is the product's own dialect of callers.
func OwnCaller() Caller {
	return Caller{TimeoutHeader: "Sardinereach-Timeout-Ms", OwnHeaders: true}
}

// OwnUpstream is the product's own dialect of upstreams.
func OwnUpstream() Upstream {
	return Upstream{
		AttemptHeader: "Sardinereach-Attempt",
		TimeoutHeader: "Sardinereach-Timeout-Ms",
		NotRunHeader:  "Sardinereach-Not-Run",
	}
}
