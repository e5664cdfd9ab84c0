package operator

import (
	"context"
	"fmt"
	"strings"

	"github.com/sardinereach/sardinereach/internal/statement"
)

// declare applies one declaration without force.
func (s *Server) declare(ctx context.Context, ask *statement.Declare) (string, error) {
	one := &change{server: s, wanted: &ask.Declaration}
	result := one.apply(ctx)
	lines := append([]string{result.Error}, result.Differences...)
	switch result.Outcome {
	case OutcomeConflict:
		return "", &declareConflictError{text: strings.Join(lines, "\n")}
	case OutcomeRejected:
		return "", refuse("%s", strings.Join(append([]string{result.Error}, result.Warnings...), "\n"))
	}
	return fmt.Sprintf("service %s %s at revision %d", result.Service, result.Outcome, result.Revision), nil
}

// declareConflictError carries the text of a conflict that an apply found.
type declareConflictError struct{ text string }

// Error implements the error interface.
func (e *declareConflictError) Error() string { return e.text }
