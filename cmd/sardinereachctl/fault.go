package main

import (
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/statement"
)

// failStatement reports the faults of a text with the lines at which they stand. name is the file, empty for a
// statement.
func (call *invocation) failStatement(name, text string, err error) int {
	var faults statement.Errors
	if !errors.As(err, &faults) {
		return call.fail(err)
	}
	for _, fault := range faults {
		if name != "" {
			call.complain("%s: %v", name, fault)
		} else {
			call.complain("%v", fault)
		}
		call.complain("%s", fault.Snippet(text))
	}
	return exitUsage
}

// failFile reports a file that cannot be read.
func (call *invocation) failFile(err error) int {
	call.complain("sardinereachctl: %v", err)
	return exitUsage
}
