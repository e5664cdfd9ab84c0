package admission

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Announcement is the state that an upstream reports about itself.
type Announcement struct {
	Service model.ServiceName
	Target  model.TargetID
	// Address is host:port of the upstream.
	Address string
	// Slots is the number of requests that the upstream runs concurrently, 1 or more.
	Slots int
	Phase model.Phase
	// Load is the load reported by the upstream, 0 to 1. It is returned in Load.Reported and affects no decision here.
	Load float64
	// ColdRemaining is the remaining time for which the target is slow after its start.
	ColdRemaining time.Duration
	// HasColdRemaining means that the upstream reports ColdRemaining. Such a target gets all its slots at once: the
	// node's slow-start ramp would restart with each restart of the node, also for a target that has long been warm.
	HasColdRemaining bool
	// Sequence increases with each announcement after one start of the target; 0 means that it was not sent.
	Sequence uint64
	// StartTimeMS is the start time of the target in Unix milliseconds; 0 means that it was not sent.
	StartTimeMS int64
}

// isStale reports whether the announcement is older than the previous one, or a duplicate of it.
func (a *Announcement) isStale(previous *Announcement) bool {
	if a.StartTimeMS != previous.StartTimeMS {
		return a.StartTimeMS < previous.StartTimeMS
	}
	return a.Sequence != 0 && a.Sequence <= previous.Sequence
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
