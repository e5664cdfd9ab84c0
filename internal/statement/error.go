package statement

import (
	"fmt"
	"strings"
)

// Error is one fault of a statement or declaration.
type Error struct {
	// Line and Column count from 1; columns count characters.
	Line    int
	Column  int
	Message string
	// Suggestion is the nearest valid word, empty if none is near.
	Suggestion string
}

// Error returns the place, the fault and the suggestion.
func (e *Error) Error() string {
	text := fmt.Sprintf("line %d column %d: %s", e.Line, e.Column, e.Message)
	if e.Suggestion != "" {
		text += fmt.Sprintf("; did you mean %q?", e.Suggestion)
	}
	return text
}

// Errors holds every fault that was found, in the order of the text. A text that does not follow the grammar has one.
type Errors []*Error

// Error returns one line for each fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Mark returns the line of text at which the fault stands, with a caret under its column on a second line.
func (e *Error) Mark(text string) string {
	lines := strings.Split(text, "\n")
	if e.Line < 1 || e.Line > len(lines) {
		return ""
	}
	line := strings.ReplaceAll(lines[e.Line-1], "\t", " ")
	return line + "\n" + strings.Repeat(" ", max(e.Column-1, 0)) + "^"
}
