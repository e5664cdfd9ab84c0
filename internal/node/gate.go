package node

// gate decides whether a request may be dispatched. It is checked immediately before each dispatch.
type gate interface {
	// beginDispatch reports whether the request may be sent now. If it returns true, the request counts as sent.
	beginDispatch() bool
	// recordNotRun records that the last dispatched request was not run.
	recordNotRun()
}

// openGate allows every dispatch.
type openGate struct{}

func (openGate) beginDispatch() bool { return true }

func (openGate) recordNotRun() {}
