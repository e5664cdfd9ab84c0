package statement

import (
	"fmt"
	"strings"
)

// Error is one error in the text of a statement or declaration.
type Error struct {
	// Line and Column start at 1. Column counts characters, not bytes.
	Line    int
	Column  int
	Message string
	// Suggestion is the nearest valid word. It is empty if no valid word is similar.
	Suggestion string
}

// Error returns the position, the message and the suggestion.
func (e *Error) Error() string {
	text := fmt.Sprintf("line %d column %d: %s", e.Line, e.Column, e.Message)
	if e.Suggestion != "" {
		text += fmt.Sprintf("; did you mean %q?", e.Suggestion)
	}
	return text
}

// Errors lists all errors of a text in text order. After a syntax error parsing stops, so it is the only entry.
type Errors []*Error

// Error returns one line for each entry.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Snippet returns the line of text that contains the error, followed by a line with a caret under the column. Words in place of key
// hashes are masked.
func (e *Error) Snippet(text string) string {
	lines := strings.Split(text, "\n")
	if e.Line < 1 || e.Line > len(lines) {
		return ""
	}
	block := strings.Join(lines[blockStart(lines, e.Line-1):e.Line], "\n")
	masked := maskKeys(block)
	line := strings.ReplaceAll(masked[strings.LastIndexByte(masked, '\n')+1:], "\t", " ")
	return line + "\n" + strings.Repeat(" ", max(e.Column-1, 0)) + "^"
}

// blockStart returns the index of the last line up to last that begins a block of a file, or 0.
func blockStart(lines []string, last int) int {
	for i := last; i > 0; i-- {
		if strings.HasPrefix(strings.TrimSpace(lines[i]), "declare") {
			return i
		}
	}
	return 0
}
