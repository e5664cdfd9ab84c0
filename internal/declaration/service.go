// Package declaration defines the configuration that operators declare: services with their routes, capacity floors,
// region preferences and policies. A service is one document in the store, so that each change of it is atomic.
package declaration

import "github.com/sardinereach/sardinereach/internal/model"

// Service is the declaration of one service.
type Service struct {
	Name model.ServiceName `json:"name"`
	// Version is the operator's name for the configuration that contains the declaration. It is only shown in reports.
	Version string `json:"version,omitempty"`
	// FloorSlots is the capacity floor in slots: ejections and drains may not take the healthy capacity below it. 0 means
	// no floor.
	FloorSlots int `json:"floor_slots,omitempty"`
	// Prefer orders regions; an empty list means the region of the accepting node first, then all others.
	Prefer []model.Region `json:"prefer,omitempty"`
	// Policy configures the failure detector.
	Policy Policy `json:"policy"`
	// Routes are matched in order of specificity, not of declaration.
	Routes []Route `json:"routes"`
	// Draining lists the targets that operators have drained.
	Draining []model.TargetID `json:"draining,omitempty"`
	// Unsupported is the reason why this build cannot apply the stored service; the requests of all routes that lead to it are
	// refused. It is empty for a service that is in force, and never stored.
	Unsupported string `json:"-"`
	// RoutesUnknown means that an unsupported service may have other routes than Routes, because the list or the place of one of them
	// cannot be read. It is never stored.
	RoutesUnknown bool `json:"-"`
}

// dropImpliedRequirements removes the requirements of the routes that follow from other fields.
func (s *Service) dropImpliedRequirements() {
	for i := range s.Routes {
		s.Routes[i].dropImpliedRequirements()
	}
}
