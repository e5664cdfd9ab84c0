// Package declaration holds what operators declare: services with their routes, floors, preferences and policies.
// A service is one document in the store, so that it changes as a whole.
package declaration

import "github.com/sardinereach/sardinereach/internal/model"

// Service is the declaration of one service.
type Service struct {
	Name model.ServiceName `json:"name"`
	// Version is the operator's name of the configuration that the declaration is part of. It is only reported.
	Version string `json:"version,omitempty"`
	// FloorSlots is the healthy capacity, in slots, below which no ejection or drain may go. 0 means no floor.
	FloorSlots int `json:"floor_slots,omitempty"`
	// Prefer orders regions; an empty list means the region of the accepting node first, then all others.
	Prefer []model.Region `json:"prefer,omitempty"`
	// Policy sets how failing targets are detected.
	Policy Policy `json:"policy"`
	// Routes are matched in order of specificity, not of declaration.
	Routes []Route `json:"routes"`
	// Draining lists targets that an operator drains.
	Draining []model.TargetID `json:"draining,omitempty"`
}
