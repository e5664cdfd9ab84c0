// Package upstream connects a node to its upstreams. It contains the HTTP client that sends requests to them, and the
// handler for the announcements that upstreams send.
package upstream

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Announcement is the body of POST /v1/announce.
type Announcement struct {
	Service model.ServiceName `json:"service"`
	Target  model.TargetID    `json:"target"`
	// Address is host:port with an IP address.
	Address string `json:"address"`
	// Slots is the number of requests that the upstream runs concurrently, 1 to MaxSlots.
	Slots int `json:"slots"`
	// Phase is starting, ready, draining or leaving.
	Phase string `json:"phase"`
	// Load is the load that the upstream reports, 0 to 1. It is only a hint.
	Load float64 `json:"load"`
	// Crashes is the number of its own restarts that the upstream reports.
	Crashes int `json:"crashes"`
	// ColdRemaining is the remaining duration of the upstream's cold start. It is valid only with HasColdRemaining.
	ColdRemaining time.Duration `json:"-"`
	// HasColdRemaining means that the announcement contained ColdRemaining.
	HasColdRemaining bool `json:"-"`
	// Sequence increases with each announcement until the upstream restarts. 0 means that the announcement contained none.
	Sequence uint64 `json:"-"`
	// StartTimeMS is the upstream's start time in milliseconds since 1970. 0 means that the announcement contained none.
	StartTimeMS int64 `json:"-"`
}

const (
	// MaxSlots is the largest number of slots that a target may announce.
	MaxSlots = 100_000
	// MaxColdRemaining is the longest cold start that a target may announce.
	MaxColdRemaining = time.Hour
	// MaxSequence is the largest sequence number, the limit up to which JSON numbers are exact. A greater one would make the
	// node ignore all later announcements.
	MaxSequence = 1 << 53
)

// Validate returns an error that names the first invalid field and its valid values, or nil.
func (a *Announcement) Validate() error {
	if !idPattern.MatchString(string(a.Service)) {
		return errors.Errorf("service %q: use 1 to 128 letters, digits, '.', '_' or '-'", a.Service)
	}
	if err := validateTarget(a.Target); err != nil {
		return err
	}
	if err := validateAddress(a.Address); err != nil {
		return err
	}
	if a.Slots < 1 || a.Slots > MaxSlots {
		return errors.Errorf("slots %d: use 1 to %d", a.Slots, MaxSlots)
	}
	if _, ok := model.ParsePhase(a.Phase); !ok {
		return errors.Errorf("phase %q: use starting, ready, draining or leaving", a.Phase)
	}
	if a.Load < 0 || a.Load > 1 {
		return errors.Errorf("load %g: use 0 to 1", a.Load)
	}
	if a.ColdRemaining < 0 || a.ColdRemaining > MaxColdRemaining {
		return errors.Errorf("remaining cold start %s: use 0 to %s", a.ColdRemaining, MaxColdRemaining)
	}
	if a.Sequence > MaxSequence {
		return errors.Errorf("sequence %d: use 0 to %d", a.Sequence, uint64(MaxSequence))
	}
	return nil
}
