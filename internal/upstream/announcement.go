// Package upstream is a node's side of its upstreams: the HTTP client that runs requests, and the listener on which
// upstreams announce themselves.
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
	// Slots is the number of requests that the upstream runs at a time, 1 to MaxSlots.
	Slots int `json:"slots"`
	// Phase is starting, ready, draining or leaving.
	Phase string `json:"phase"`
	// Load is the upstream's own report of its load, 0 to 1. It is a hint.
	Load float64 `json:"load"`
	// Crashes counts the restarts of the upstream that it knows of.
	Crashes int `json:"crashes"`
	// ColdLeft is how much longer the upstream is slow after its start.
	ColdLeft time.Duration `json:"-"`
	// TellsCold means that ColdLeft is told.
	TellsCold bool `json:"-"`
	// Sequence grows with each announcement of one start of the upstream; 0 means that it is not told.
	Sequence uint64 `json:"-"`
	// Born is the time of the upstream's start, in milliseconds since 1970; 0 means that it is not told.
	Born int64 `json:"-"`
}

// MaxSlots is the greatest number of slots that a target may announce.
const MaxSlots = 100_000

var idPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$`)

// Validate returns an error that names the field and what would be valid, or nil.
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
