package node

// gate decides whether a request may be dispatched. It is checked immediately before each dispatch.
type gate interface {
	// open reports whether the request may be sent now. If it returns true, the request counts as sent.
	open() bool
	// notRun records that the last dispatched request was not run.
	notRun()
}

// openGate allows every dispatch.
type openGate struct{}

func (openGate) open() bool { return true }

func (openGate) notRun() {}
