package main

import (
	"fmt"
	"io"
	"os"
)

// stdio holds the streams of one run.
type stdio struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// complain writes one line to the error stream.
func (s stdio) complain(format string, args ...any) {
	fmt.Fprintf(s.err, format+"\n", args...)
}

// read returns the content of a file, or of the standard input for "-".
func (s stdio) read(path string) (string, error) {
	if path == "-" {
		data, err := io.ReadAll(s.in)
		return string(data), err
	}
	data, err := os.ReadFile(path)
	return string(data), err
}
