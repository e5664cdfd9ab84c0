package operator

import (
	"fmt"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/statement"
	"github.com/sardinereach/sardinereach/internal/store"
)

// refusalError means that the command is not allowed in the current state. Nothing was changed.
type refusalError struct{ text string }

// Error implements the error interface.
func (e *refusalError) Error() string { return e.text }

func refuse(format string, args ...any) error {
	return &refusalError{text: fmt.Sprintf(format, args...)}
}

// unknownNameError means that the command names an object that does not exist.
type unknownNameError struct {
	kind       string
	name       string
	suggestion string
}

// Error implements the error interface.
func (e *unknownNameError) Error() string {
	text := fmt.Sprintf("%s %q is not known", e.kind, e.name)
	if e.suggestion != "" {
		text += fmt.Sprintf("; did you mean %q?", e.suggestion)
	}
	return text
}

func unknownName(kind, name string, existing []string) error {
	suggestion, _ := statement.Suggest(name, existing)
	return &unknownNameError{kind: kind, name: name, suggestion: suggestion}
}

// conflictError means that a document was changed since the revision on which a write was based.
type conflictError struct {
	// title is the kind and the name of the document, such as "service proofroom".
	title string
	// currentRevision is the revision of the document, 0 if it does not exist.
	currentRevision int64
	// differences are the changes from the current declaration to the wanted one.
	differences []statement.Difference
	// outcomeUnknown means that the response to an earlier attempt of the write was lost, so the write may have been
	// active for a time before the other change replaced it.
	outcomeUnknown bool
}

// Error implements the error interface.
func (e *conflictError) Error() string {
	return strings.Join(append([]string{e.headline()}, differenceLines(e.differences)...), "\n")
}

// headline returns the error text without the differences.
func (e *conflictError) headline() string {
	text := fmt.Sprintf("conflict: another change came first, and %s is at revision %d", e.title, e.currentRevision)
	if e.currentRevision == 0 {
		text = fmt.Sprintf("conflict: another change came first, and %s does not exist", e.title)
	}
	if e.outcomeUnknown {
		text += "; an answer of the store was lost, and this change may have been in force before that revision"
	}
	return text
}

func differenceLines(differences []statement.Difference) []string {
	lines := make([]string, len(differences))
	for i, difference := range differences {
		lines[i] = difference.String()
	}
	return lines
}

// asConnectError adds the Connect code to an error. sardinereachctl derives its exit code from it.
func asConnectError(err error) error {
	var refused *refusalError
	var unknown *unknownNameError
	var conflict *conflictError
	var declared *declareConflictError
	var taken *keyTakenError
	var changed *accountConflictError
	switch {
	case errors.As(err, &refused), errors.As(err, &taken):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.As(err, &unknown), errors.Is(err, store.ErrNotFound):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.As(err, &conflict), errors.As(err, &declared), errors.As(err, &changed):
		return connect.NewError(connect.CodeAborted, err)
	case errors.Is(err, store.ErrUnavailable):
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewError(connect.CodeUnknown, err)
}
