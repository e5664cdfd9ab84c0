package operator

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/statement"
	"github.com/sardinereach/sardinereach/internal/store"
)

func (s *Server) remove(ctx context.Context, command *statement.Remove) (string, error) {
	stored, err := s.fleet.ReadService(ctx, command.Service)
	if errors.Is(err, store.ErrNotFound) {
		return "", unknownName("service", string(command.Service), s.serviceNames())
	}
	if err != nil {
		return "", err
	}
	dangers := statement.Dangers(&stored.Document.Service, nil, statement.UnknownCapacity)
	if len(dangers) > 0 && !command.Force {
		return "", refuse("%s; add force if it is meant", dangers[0])
	}
	outcomeUnknown, err := s.retryWrite(ctx, func() error {
		return s.fleet.RemoveService(ctx, command.Service, stored.Revision)
	})
	if err := resolveRemoval(err, command, outcomeUnknown); err != nil {
		return "", err
	}
	return fmt.Sprintf("service %s is removed", command.Service), nil
}

// resolveRemoval returns the error of a removal. If the response to an earlier attempt was lost, it treats an absent
// document as the effect of that attempt and returns nil.
func resolveRemoval(err error, command *statement.Remove, outcomeUnknown bool) error {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if !conflict.Exists && outcomeUnknown {
		return nil
	}
	return &conflictError{title: "service " + string(command.Service), currentRevision: conflict.Current.Revision, outcomeUnknown: outcomeUnknown}
}

func (s *Server) serviceNames() []string {
	var names []string
	for _, service := range s.fleet.Snapshot().Services {
		names = append(names, string(service.Service.Name))
	}
	return names
}
