package node

// gate guards the dispatch of a request. Attempts ask it right before each dispatch.
type gate interface {
	// open reports whether the request may be sent now. A true answer counts as sent.
	open() bool
	// notRun takes in that the last dispatch was not run.
	notRun()
}

// openGate lets every dispatch through.
type openGate struct{}

func (openGate) open() bool { return true }

func (openGate) notRun() {}
