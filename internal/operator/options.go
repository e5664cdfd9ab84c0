package operator

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Options sets up the operators' API of one node.
type Options struct {
	// Node and Incarnation make the change IDs unique in the fleet.
	Node        model.NodeID
	Incarnation model.Incarnation
	// Token is what callers must present; empty admits everyone and is for loopback listeners only.
	Token string
	// MaxRequestBytes bounds one request; 0 means DefaultMaxRequestBytes.
	MaxRequestBytes int
	// PollInterval is the time between two looks at the nodes while a change is awaited, and before a write is repeated
	// whose answer was lost; 0 means DefaultPollInterval.
	PollInterval time.Duration
	// Events receives the events of the API; nil writes none.
	Events *events.Log
}

const (
	// DefaultMaxRequestBytes holds the declarations of about 14,000 routes of 70 bytes. The parser allocates about 280
	// times the text over its run, so that the limit also bounds what one call costs a small node.
	DefaultMaxRequestBytes = 1 << 20
	// DefaultPollInterval is short against the seconds that a change takes to reach all nodes.
	DefaultPollInterval = 100 * time.Millisecond
	// MaxWait bounds how long an apply waits until its change is in force.
	MaxWait = 5 * time.Minute
)

func (o Options) withDefaults() Options {
	if o.MaxRequestBytes <= 0 {
		o.MaxRequestBytes = DefaultMaxRequestBytes
	}
	if o.PollInterval <= 0 {
		o.PollInterval = DefaultPollInterval
	}
	return o
}
