package operator

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// maxDrainTries bounds how often a drain is decided anew after another change of the service.
const maxDrainTries = 4

func (s *Server) drain(ctx context.Context, ask *statement.Drain) (string, error) {
	service, err := s.serviceOfTarget(ask.Target)
	if err != nil {
		return "", err
	}
	started := func() {}
	message, err := s.editDocument(ctx, service, func(document *declaration.Document) (string, error) {
		if slices.Contains(document.Draining, ask.Target) {
			return fmt.Sprintf("target %s of service %s is drained already", ask.Target, service), nil
		}
		figures, event, err := s.checkFloor(&document.Service, ask)
		if err != nil {
			return "", err
		}
		started = func() { s.emit(event, drainFields(ask.Target, service, figures)...) }
		document.Draining = append(slices.Clone(document.Draining), ask.Target)
		slices.Sort(document.Draining)
		return fmt.Sprintf("target %s of service %s is draining: %s", ask.Target, service, figures), nil
	})
	if err == nil {
		started()
	}
	return message, err
}

// checkFloor refuses a drain below the floor unless it is forced. It returns the event of the drain.
func (s *Server) checkFloor(service *declaration.Service, ask *statement.Drain) (Figures, *events.Event, error) {
	figures := s.fleet.DrainFigures(service, ask.Target)
	switch {
	case !figures.BelowFloor():
		return figures, events.DrainStarted, nil
	case ask.Force:
		return figures, events.DrainForced, nil
	}
	s.emit(events.DrainRefused, drainFields(ask.Target, service.Name, figures)...)
	return figures, nil, refuse("the drain of target %s takes service %s below its floor: %s; add force if it is meant", ask.Target, service.Name, figures)
}

func drainFields(target model.TargetID, service model.ServiceName, figures Figures) []events.Field {
	return []events.Field{
		events.TargetField(target), events.ServiceField(service), events.SlotsField(figures.After),
		events.FloorField(figures.Floor),
	}
}

func (s *Server) restore(ctx context.Context, ask *statement.Restore) (string, error) {
	service, err := s.serviceOfDrain(ask.Target)
	if err != nil {
		return "", err
	}
	message, err := s.editDocument(ctx, service, func(document *declaration.Document) (string, error) {
		at := slices.Index(document.Draining, ask.Target)
		if at < 0 {
			return fmt.Sprintf("target %s of service %s is not drained", ask.Target, service), nil
		}
		document.Draining = slices.Delete(slices.Clone(document.Draining), at, at+1)
		return fmt.Sprintf("target %s of service %s is restored", ask.Target, service), nil
	})
	if err == nil {
		s.emit(events.DrainEnded, events.TargetField(ask.Target), events.ServiceField(service))
	}
	return message, err
}

// editDocument changes the newest document of a service. edit decides anew after another operator's change, so that a
// floor is always checked against the document that is replaced. It leaves the document as it is if nothing is to be
// done.
func (s *Server) editDocument(ctx context.Context, service model.ServiceName, edit func(*declaration.Document) (string, error)) (string, error) {
	var conflict *conflictError
	for try := 0; try < maxDrainTries; try++ {
		stored, err := s.fleet.ReadService(ctx, service)
		if err != nil {
			return "", errors.Wrapf(err, "service %s", service)
		}
		document := stored.Document
		message, err := edit(&document)
		if err != nil || slices.Equal(document.Draining, stored.Document.Draining) {
			return message, err
		}
		revision, err := s.write(ctx, stored.Revision, &document)
		if err == nil {
			return fmt.Sprintf("%s, revision %d", message, revision), nil
		}
		if !errors.As(err, &conflict) {
			return "", err
		}
	}
	return "", conflict
}

// serviceOfTarget finds the service of a target in the node's view.
func (s *Server) serviceOfTarget(id model.TargetID) (model.ServiceName, error) {
	var known []string
	for _, node := range s.fleet.Snapshot().Nodes {
		for _, target := range node.Record.Targets {
			if target.ID == id {
				return target.Service, nil
			}
			known = append(known, string(target.ID))
		}
	}
	return "", unknownName("target", string(id), known)
}

// serviceOfDrain also finds targets that no longer exist but are still listed as draining.
func (s *Server) serviceOfDrain(id model.TargetID) (model.ServiceName, error) {
	snapshot := s.fleet.Snapshot()
	for i := range snapshot.Services {
		if slices.Contains(snapshot.Services[i].Service.Draining, id) {
			return snapshot.Services[i].Service.Name, nil
		}
	}
	return s.serviceOfTarget(id)
}
