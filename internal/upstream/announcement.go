// Package upstream connects a node to its upstreams. It contains the HTTP client that sends requests to them, and the
// handler for the announcements that upstreams send.
package upstream

import (
	"net"
	"regexp"
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

// MaxSlots is the largest number of slots that a target may announce.
const MaxSlots = 100_000

var idPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$`)

// Validate returns an error that names the first invalid field and its valid values, or nil.
func (a *Announcement) Validate() error {
	if !idPattern.MatchString(string(a.Service)) {
		return errors.Errorf("service %q: use 1 to 128 letters, digits, '.', '_' or '-'", a.Service)
	}
	if !idPattern.MatchString(string(a.Target)) {
		return errors.Errorf("target %q: use 1 to 128 letters, digits, '.', '_' or '-'", a.Target)
	}
	host, port, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return errors.Errorf("address %q: use IP:port", a.Address)
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
	return nil
}
