package operator

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/statement"
	"github.com/sardinereach/sardinereach/internal/store"
)

func (s *Server) remove(ctx context.Context, ask *statement.Remove) (string, error) {
	stored, err := s.fleet.ReadService(ctx, ask.Service)
	if errors.Is(err, store.ErrNotFound) {
		return "", unknownName("service", string(ask.Service), s.serviceNames())
	}
	if err != nil {
		return "", err
	}
	dangers := statement.Dangers(&stored.Document.Service, nil, statement.UnknownCapacity)
	if len(dangers) > 0 && !ask.Force {
		return "", refuse("%s; add force if it is meant", dangers[0])
	}
	uncertain, err := s.repeat(ctx, func() error {
		return s.fleet.RemoveService(ctx, ask.Service, stored.Revision)
	})
	if err := settleRemoval(err, ask, uncertain); err != nil {
		return "", err
	}
	return fmt.Sprintf("service %s is removed", ask.Service), nil
}

// settleRemoval takes an absent document for the effect of a removal whose answer was lost.
func settleRemoval(err error, ask *statement.Remove, uncertain bool) error {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if !conflict.Exists && uncertain {
		return nil
	}
	return &conflictError{service: ask.Service, current: conflict.Current.Revision, uncertain: uncertain}
}

func (s *Server) serviceNames() []string {
	var names []string
	for _, facts := range s.fleet.Snapshot().Services {
		names = append(names, string(facts.Service.Name))
	}
	return names
}
