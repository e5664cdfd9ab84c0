package operator

import (
	"context"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// writeService stores the document of a service that is at revision expect, with a new change ID, and returns the new revision.
func (s *Server) writeService(ctx context.Context, expect int64, document *declaration.Document) (int64, error) {
	document.ChangeID = s.changes.next()
	return s.write(ctx, &documentWrite{
		title:    "service " + string(document.Name),
		changeID: document.ChangeID,
		fields:   []events.Field{events.ServiceField(document.Name)},
		swap:     func(ctx context.Context) (int64, error) { return s.fleet.SwapService(ctx, expect, document) },
		read: func(ctx context.Context) (string, int64, error) {
			stored, err := s.fleet.ReadService(ctx, document.Name)
			return stored.Document.ChangeID, stored.Revision, err
		},
		compare: func(value []byte) (string, []statement.Difference, error) { return compareService(value, document) },
	})
}

func compareService(value []byte, wanted *declaration.Document) (string, []statement.Difference, error) {
	if value == nil {
		return "", statement.Diff(nil, &wanted.Service), nil
	}
	current, err := declaration.DecodeDocument(value)
	if err != nil {
		return "", nil, err
	}
	return current.ChangeID, statement.Diff(&current.Service, &wanted.Service), nil
}
