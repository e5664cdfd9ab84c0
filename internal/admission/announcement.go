package admission

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Announcement is what an upstream says about itself.
type Announcement struct {
	Service model.ServiceName
	Target  model.TargetID
	// Address is host:port of the upstream.
	Address string
	// Slots is the number of requests that the upstream runs at a time, 1 or more.
	Slots int
	Phase model.Phase
	// Load is the upstream's own view of its load, 0 to 1. It is only reported on.
	Load float64
	// ColdLeft is how much longer the target is slow after its start.
	ColdLeft time.Duration
	// TellsCold means that ColdLeft is told. Such a target gets all its slots at once: a ramp of the node's own would begin
	// anew with each start of the node beside a target that has long been warm.
	TellsCold bool
	// Sequence grows with each announcement of one start of the target; 0 means that it is not told.
	Sequence uint64
	// Born is the time of the target's start, in milliseconds since 1970; 0 means that it is not told.
	Born int64
}

// isLate reports whether the announcement was sent before one that has arrived, or is the same one again.
func (a *Announcement) isLate(known *Announcement) bool {
	if a.Born != known.Born {
		return a.Born < known.Born
	}
	return a.Sequence != 0 && a.Sequence <= known.Sequence
}

func (a *Announcement) validate() error {
	if a.Service == "" || a.Target == "" || a.Address == "" {
		return errors.New("announcement: service, target and address are needed")
	}
	if a.Slots < 1 {
		return errors.Errorf("announcement of %s: %d slots: use 1 or more", a.Target, a.Slots)
	}
	if a.Phase > model.PhaseLeaving {
		return errors.Errorf("announcement of %s: phase %d is not known", a.Target, a.Phase)
	}
	return nil
}
