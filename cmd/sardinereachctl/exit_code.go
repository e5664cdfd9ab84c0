package main

// Exit codes. They are part of the interface to scripts and do not change.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitPartial     = 4
	exitUnreachable = 5
)
