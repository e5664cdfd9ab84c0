package settings

import "fmt"

// Fault is one error in a settings file.
type Fault struct {
	File string
	// Line counts from 1. It is 0 if the fault has no line, for example if a section is missing.
	Line int
	// Key is "[section] key", or "[section]" for a whole section.
	Key string
	// Problem describes the error.
	Problem string
	// Valid describes the valid values.
	Valid string
}

// String returns the fault as one line.
func (f Fault) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	return fmt.Sprintf("%s: %s: %s; use %s", place, f.Key, f.Problem, f.Valid)
}
