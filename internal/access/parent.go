package access

// Parent is what a node knows of the run that has sent a request.
type Parent uint8

const (
	// NoParent means that the request is not nested: its ID names no other request.
	NoParent Parent = iota
	// ParentRunning means that the request that the ID names may be running at a local target.
	ParentRunning
	// ParentAbsent means that the request that the ID names does not run at a local target.
	ParentAbsent
	// ParentUnknown is as ParentAbsent, but the request may run since before the node was started.
	ParentUnknown
)
