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

// maxEditAttempts limits the attempts of editDocument, which starts again after a conflict with another change.
const maxEditAttempts = 4

func (s *Server) drain(ctx context.Context, command *statement.Drain) (string, error) {
	service, err := s.serviceOfTarget(command.Target)
	if err != nil {
		return "", err
	}
	emitStarted := func() {}
	message, err := s.editDocument(ctx, service, func(document *declaration.Document) (string, error) {
		if slices.Contains(document.Draining, command.Target) {
			return fmt.Sprintf("target %s of service %s is drained already", command.Target, service), nil
		}
		impact, event, err := s.checkFloor(&document.Service, command)
		if err != nil {
			return "", err
		}
		emitStarted = func() { s.emit(event, drainFields(command.Target, service, impact)...) }
		document.Draining = append(slices.Clone(document.Draining), command.Target)
		slices.Sort(document.Draining)
		return fmt.Sprintf("target %s of service %s is draining: %s", command.Target, service, impact), nil
	})
	if err == nil {
		emitStarted()
	}
	return message, err
}

// checkFloor refuses a drain that takes the service below its capacity floor, unless it is forced. It returns the event
// to emit when the drain starts.
func (s *Server) checkFloor(service *declaration.Service, command *statement.Drain) (CapacityImpact, *events.Event, error) {
	impact := s.fleet.DrainImpact(service, command.Target)
	switch {
	case !impact.BelowFloor():
		return impact, events.DrainStarted, nil
	case command.Force:
		return impact, events.DrainForced, nil
	}
	s.emit(events.DrainRefused, drainFields(command.Target, service.Name, impact)...)
	return impact, nil, refuse("the drain of target %s takes service %s below its floor: %s; add force if it is meant", command.Target, service.Name, impact)
}

func drainFields(target model.TargetID, service model.ServiceName, impact CapacityImpact) []events.Field {
	return []events.Field{
		events.TargetField(target), events.ServiceField(service), events.SlotsField(impact.AfterDrain),
		events.FloorField(impact.Floor),
	}
}

func (s *Server) restore(ctx context.Context, command *statement.Restore) (string, error) {
	service, err := s.serviceOfDrain(command.Target)
	if err != nil {
		return "", err
	}
	message, err := s.editDocument(ctx, service, func(document *declaration.Document) (string, error) {
		index := slices.Index(document.Draining, command.Target)
		if index < 0 {
			return fmt.Sprintf("target %s of service %s is not drained", command.Target, service), nil
		}
		document.Draining = slices.Delete(slices.Clone(document.Draining), index, index+1)
		return fmt.Sprintf("target %s of service %s is restored", command.Target, service), nil
	})
	if err == nil {
		s.emit(events.DrainEnded, events.TargetField(command.Target), events.ServiceField(service))
	}
	return message, err
}

// editDocument applies edit to the newest document of a service and writes the result. After a conflict with another
// operator's change it calls edit again on the new document, so that a capacity floor is always checked against the
// document that is replaced. It writes nothing if edit does not change the drains.
func (s *Server) editDocument(ctx context.Context, service model.ServiceName, edit func(*declaration.Document) (string, error)) (string, error) {
	var conflict *conflictError
	for attempt := 0; attempt < maxEditAttempts; attempt++ {
		stored, err := s.fleet.ReadService(ctx, service)
		if err != nil {
			return "", errors.Wrapf(err, "service %s", service)
		}
		document := stored.Document
		message, err := edit(&document)
		if err != nil || slices.Equal(document.Draining, stored.Document.Draining) {
			return message, err
		}
		revision, err := s.writeService(ctx, stored.Revision, &document)
		if err == nil {
			return fmt.Sprintf("%s, revision %d", message, revision), nil
		}
		if !errors.As(err, &conflict) {
			return "", err
		}
	}
	return "", conflict
}

// serviceOfTarget returns the service of a target in the node's snapshot.
func (s *Server) serviceOfTarget(id model.TargetID) (model.ServiceName, error) {
	var existing []string
	for _, node := range s.fleet.Snapshot().Nodes {
		for _, target := range node.Record.Targets {
			if target.ID == id {
				return target.Service, nil
			}
			existing = append(existing, string(target.ID))
		}
	}
	return "", unknownName("target", string(id), existing)
}

// serviceOfDrain is like serviceOfTarget, and also finds targets that no longer exist but are still listed as draining.
func (s *Server) serviceOfDrain(id model.TargetID) (model.ServiceName, error) {
	snapshot := s.fleet.Snapshot()
	for i := range snapshot.Services {
		if slices.Contains(snapshot.Services[i].Service.Draining, id) {
			return snapshot.Services[i].Service.Name, nil
		}
	}
	return s.serviceOfTarget(id)
}
