package main

import (
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/statement"
)

// reportParseError prints each error of a text with the line that contains it. name is the name of the file, or empty
// for a statement.
func (call *invocation) reportParseError(name, text string, err error) int {
	var parseErrors statement.Errors
	if !errors.As(err, &parseErrors) {
		return call.reportError(err)
	}
	for _, parseError := range parseErrors {
		if name != "" {
			call.printStderr("%s: %v", name, parseError)
		} else {
			call.printStderr("%v", parseError)
		}
		call.printStderr("%s", parseError.Snippet(text))
	}
	return exitUsage
}

// reportFileError prints the error of a file that cannot be read.
func (call *invocation) reportFileError(err error) int {
	call.printStderr("sardinereachctl: %v", err)
	return exitUsage
}
