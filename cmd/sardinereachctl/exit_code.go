package main

// Exit codes. Scripts depend on them, so they must not change.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitPartial     = 4
	exitUnreachable = 5
)
