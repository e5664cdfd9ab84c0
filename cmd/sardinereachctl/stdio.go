package main

import (
	"fmt"
	"io"
	"os"
)

// stdio is the standard streams of one run.
type stdio struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// printStderr formats one line and writes it to standard error.
func (s stdio) printStderr(format string, args ...any) {
	fmt.Fprintf(s.err, format+"\n", args...)
}

// read returns the content of a file, or of standard input if path is "-".
func (s stdio) read(path string) (string, error) {
	if path == "-" {
		data, err := io.ReadAll(s.in)
		return string(data), err
	}
	data, err := os.ReadFile(path)
	return string(data), err
}
