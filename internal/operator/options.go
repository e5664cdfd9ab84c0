package operator

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Options configures the operators' API of one node.
type Options struct {
	// Node and Incarnation make the change IDs unique in the fleet.
	Node        model.NodeID
	Incarnation model.Incarnation
	// Token is the bearer token that callers must present. An empty token admits every caller and is for loopback
	// listeners only.
	Token string
	// MaxRequestBytes limits the size of one request; 0 means DefaultMaxRequestBytes.
	MaxRequestBytes int
	// PollInterval is the time between two polls of the node states while an apply waits, and the delay before a write
	// with an unknown outcome is retried; 0 means DefaultPollInterval.
	PollInterval time.Duration
	// Events receives the events of the API; nil discards them.
	Events *events.Log
}

const (
	// DefaultMaxRequestBytes is enough for the declarations of about 14,000 routes of 70 bytes. The parser allocates about
	// 280 times the size of the text in total, so the limit also bounds the cost of one call on a small node.
	DefaultMaxRequestBytes = 1 << 20
	// DefaultPollInterval is short compared to the seconds that a change takes to reach all nodes.
	DefaultPollInterval = 100 * time.Millisecond
	// MaxWait limits how long an apply waits until its change is active.
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
