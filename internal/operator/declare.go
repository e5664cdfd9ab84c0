package operator

import (
	"context"
	"fmt"
	"strings"

	"github.com/sardinereach/sardinereach/internal/statement"
)

// declare applies one declaration without force.
func (s *Server) declare(ctx context.Context, command *statement.Declare) (string, error) {
	if command.Declaration.Account != nil {
		return s.declareAccount(ctx, &command.Declaration)
	}
	c := &change{server: s, wanted: &command.Declaration}
	result := c.apply(ctx)
	lines := append([]string{result.Error}, result.Differences...)
	switch result.Outcome {
	case OutcomeConflict:
		return "", &declareConflictError{text: strings.Join(lines, "\n")}
	case OutcomeRejected:
		return "", refuse("%s", strings.Join(append([]string{result.Error}, result.Warnings...), "\n"))
	}
	return fmt.Sprintf("service %s %s at revision %d", result.Service, result.Outcome, result.Revision), nil
}

// declareConflictError is a conflict in the change of a declare command. It has the text of the apply result.
type declareConflictError struct{ text string }

// Error implements the error interface.
func (e *declareConflictError) Error() string { return e.text }
