package declaration

import (
	"slices"

	"github.com/pkg/errors"
)

// markUnsupported makes the service and all its routes unsupported for the given reason.
func (s *Service) markUnsupported(reason error) {
	s.Unsupported = reason.Error()
	for i := range s.Routes {
		s.Routes[i].MarkUnsupported(reason)
	}
}

// markFaults makes the service unsupported for the first of the faults that is not nil. Values that are not valid are removed.
func (s *Service) markFaults(faults ...error) {
	for _, fault := range faults {
		if fault == nil {
			continue
		}
		s.markUnsupported(fault)
		s.FloorSlots = max(s.FloorSlots, 0)
		if s.Policy.validate() != nil {
			s.Policy = Policy{}
		}
		return
	}
}

// RefuseRoutesOf adds the routes of an earlier declaration of an unsupported service as unsupported ones: it is not known whether they
// still exist, or what restricts them. A nil declaration has no routes.
func (s *Service) RefuseRoutesOf(earlier *Service) {
	if earlier == nil {
		return
	}
	// s may share its routes with another declaration.
	s.Routes = slices.Clone(s.Routes)
	positions := make(map[string]int, len(s.Routes))
	for i := range s.Routes {
		positions[s.Routes[i].id()] = i
	}
	for _, route := range earlier.Routes {
		if i, exists := positions[route.id()]; exists {
			s.Routes[i].BelowOnly = s.Routes[i].BelowOnly && route.BelowOnly
			continue
		}
		route.MarkUnsupported(errors.New(s.Unsupported))
		s.Routes = append(s.Routes, route)
	}
}
