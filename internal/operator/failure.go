package operator

import (
	"fmt"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/statement"
	"github.com/sardinereach/sardinereach/internal/store"
)

// refusalError means that the command is not allowed in the present state. Nothing changed.
type refusalError struct{ text string }

// Error implements the error interface.
func (e *refusalError) Error() string { return e.text }

func refuse(format string, args ...any) error {
	return &refusalError{text: fmt.Sprintf(format, args...)}
}

// unknownNameError means that the command names something that does not exist.
type unknownNameError struct {
	what       string
	name       string
	suggestion string
}

// Error implements the error interface.
func (e *unknownNameError) Error() string {
	text := fmt.Sprintf("%s %q is not known", e.what, e.name)
	if e.suggestion != "" {
		text += fmt.Sprintf("; did you mean %q?", e.suggestion)
	}
	return text
}

func unknownName(what, name string, known []string) error {
	suggestion, _ := statement.Suggest(name, known)
	return &unknownNameError{what: what, name: name, suggestion: suggestion}
}

// conflictError means that another change came first.
type conflictError struct {
	service model.ServiceName
	// current is the revision of the service, 0 if it does not exist.
	current int64
	// differences lead from the current declaration to the wanted one.
	differences []statement.Difference
	// uncertain means that the answer to an earlier try of the write was lost, so that it may have been in force for a
	// time before the other change.
	uncertain bool
}

// Error implements the error interface.
func (e *conflictError) Error() string {
	return strings.Join(append([]string{e.headline()}, differenceLines(e.differences)...), "\n")
}

// headline is the error without the differences.
func (e *conflictError) headline() string {
	text := fmt.Sprintf("conflict: another change came first, and service %s is at revision %d", e.service, e.current)
	if e.current == 0 {
		text = fmt.Sprintf("conflict: another change came first, and service %s does not exist", e.service)
	}
	if e.uncertain {
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

// asConnectError gives an error the code by which the operator's tool chooses its exit code.
func asConnectError(err error) error {
	var refused *refusalError
	var unknown *unknownNameError
	var conflict *conflictError
	var declared *declareConflictError
	switch {
	case errors.As(err, &refused):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.As(err, &unknown), errors.Is(err, store.ErrNotFound):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.As(err, &conflict), errors.As(err, &declared):
		return connect.NewError(connect.CodeAborted, err)
	case errors.Is(err, store.ErrUnavailable):
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewError(connect.CodeUnknown, err)
}
