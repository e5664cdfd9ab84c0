package distribution

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
)

// Options configure a Distributor. Self, Store and Puller are required. A zero duration or number selects the default.
type Options struct {
	// Self is the identity of the node. Its peer address must not be empty.
	Self   model.Node
	Store  store.Store
	Puller Puller
	// Seeds are peer addresses (host:port) to pull from at the start. They are needed when the store cannot provide
	// members.
	Seeds []string
	// Seed initializes the random numbers for jitter and for the choice of gossip peers.
	Seed uint64
	// Now is the node's monotonic clock; nil means the time since New. Timers always use package time.
	Now func() time.Duration
	// Report receives events. It must not block and must not call the Distributor. If it is nil, events are discarded.
	Report func(Event)
	// OnSnapshot is called with each new snapshot, never concurrently; the first call comes from New. It must not block
	// and must not call the Distributor. It may be nil.
	OnSnapshot func(*Snapshot)
	// OnDepartures is called with the departures that an earlier incarnation of this node has acknowledged, whenever this node
	// hears of some, and with none when it knows all of them. It must not block and must not call the Distributor. It may be nil.
	OnDepartures func([]model.Departure)

	// NoEjections means that the fleet writes no ejection permits, so the store is not watched for them.
	NoEjections bool

	// RoundInterval is the time between two rounds of pulls.
	RoundInterval time.Duration
	// PullTimeout limits one Pull.
	PullTimeout time.Duration
	// StoreTimeout limits one store call, in addition to the wait time of a watch. The answer to a read may take longer while
	// parts of it arrive within StoreTimeout of each other.
	StoreTimeout time.Duration
	// WatchWait is how long a watch waits for changes, except for a watch of the configuration. An unresponsive connection
	// under a watch is detected only after WatchWait plus StoreTimeout, unless the store was silent as a whole.
	WatchWait time.Duration
	// ConfirmWait is how long a watch of the configuration waits for changes. Only the answer of such a watch confirms the
	// configuration, and a watch that the store has forgotten ends after ConfirmWait plus StoreTimeout. Both have to stay well
	// within the bound for changes, 2.5 s.
	ConfirmWait time.Duration
	// WatchPause is the mean time between two watches of a prefix, so that one call returns many changes. It has jitter, so
	// that the watchers, which all receive a change at once, do not send their next watches at the same moment.
	WatchPause time.Duration
	// BackoffMin and BackoffMax bound the pause after a failed store call. The pause doubles with each failure, with
	// jitter.
	BackoffMin, BackoffMax time.Duration
	// WatchBackoffMax bounds the pause of a watcher after a failed watch, ConfirmBackoffMax that after a failed read of the
	// configuration. The pause ends early when a probe shows that the store answers again. A node has to be up to date 3 s
	// after an outage, also if no probe noticed it.
	WatchBackoffMax, ConfirmBackoffMax time.Duration
	// ProbeInterval is the time between two probes of the store by a watcher. Together with ProbeTimeout it bounds the time
	// until a watcher learns that the store answers again, which has to stay within about a second: a change must be active
	// everywhere 2.5 s after it was acknowledged.
	ProbeInterval time.Duration
	// ProbeTimeout is the time after which a probe counts as not answered.
	ProbeTimeout time.Duration
	// ListJitter spreads out the first reads of the member records when many nodes start at the same time.
	ListJitter time.Duration
	// RegisterJitter spreads out the writes of member records when many nodes start at the same time.
	RegisterJitter time.Duration
	// RelistInterval is how often a watcher lists the members, to find members that gossip did not deliver and to
	// delete the records of dead ones.
	RelistInterval time.Duration
	// LoadInterval is the minimum time between two versions of the own record that differ only in load figures.
	LoadInterval time.Duration
	// LoadBytesPerSecond limits what the load figures of all nodes may cost one node. In large fleets it makes the
	// interval between two versions longer than LoadInterval.
	LoadBytesPerSecond int
	// IsolatedAfter is how long neither the store nor a peer may respond before Isolated is reported.
	IsolatedAfter time.Duration
	// RecentWindow is the period whose changes a new gossip peer sends. It must be longer than a change takes to
	// propagate.
	RecentWindow time.Duration
	// HeartbeatInterval is the minimum time between two heartbeats.
	HeartbeatInterval time.Duration
	// HeartbeatBytesPerSecond limits what the heartbeats of all nodes may cost one node. In large fleets it makes the
	// interval between heartbeats longer than HeartbeatInterval.
	HeartbeatBytesPerSecond int
	// Timing holds the limits of failure detection for one heartbeat per second. They are scaled to the actual
	// interval.
	Timing membership.Timing
	// MaxPullBytes limits the configuration documents of a Pull response. The last document may exceed it by up to a
	// megabyte.
	MaxPullBytes int
	// MaxPullRecords limits the changed records of a Pull response. Permit and quarantine documents have no limit. With
	// the defaults, a response with up to about 1.5 MB of them stays under 4 MiB, the limit of drpc.
	MaxPullRecords int
	// SyncParallel is the number of concurrent pulls when a starting node reads all peers. Each pull from an
	// unreachable peer takes PullTimeout, so with only a few concurrent pulls a partitioned region would delay the
	// start by minutes.
	SyncParallel int
	// MaxTombstones is the number of deleted configuration documents that are kept as individual tombstones.
	MaxTombstones int
	// MaxAuxiliaryTombstones is the same limit for permit documents and for quarantine documents separately. A new
	// gossip peer sends all of them.
	MaxAuxiliaryTombstones int
}

// Measured sizes in a Pull response (docs/measurements/distribution.md), times the gossip peers that may send the same
// data.
const (
	heartbeatBytes    = 40 * membership.PeersPerRound
	recordBytes       = 160 * membership.PeersPerRound
	recordTargetBytes = 70 * membership.PeersPerRound
)

func (o Options) withDefaults() Options {
	setDefault(&o.RoundInterval, time.Second)
	setDefault(&o.PullTimeout, 2*time.Second)
	setDefault(&o.StoreTimeout, 2*time.Second)
	setDefault(&o.WatchWait, 6*time.Second)
	setDefault(&o.ConfirmWait, 750*time.Millisecond)
	setDefault(&o.WatchPause, 250*time.Millisecond)
	setDefault(&o.BackoffMin, 500*time.Millisecond)
	setDefault(&o.BackoffMax, 30*time.Second)
	setDefault(&o.WatchBackoffMax, 8*time.Second)
	setDefault(&o.ConfirmBackoffMax, 2*time.Second)
	setDefault(&o.ProbeInterval, 600*time.Millisecond)
	setDefault(&o.ProbeTimeout, time.Second)
	setDefault(&o.ListJitter, 200*time.Millisecond)
	setDefault(&o.RegisterJitter, 2*time.Second)
	setDefault(&o.RelistInterval, 10*time.Minute)
	setDefault(&o.LoadInterval, 5*time.Second)
	setDefault(&o.LoadBytesPerSecond, 2048)
	setDefault(&o.IsolatedAfter, 15*time.Second)
	setDefault(&o.RecentWindow, time.Minute)
	setDefault(&o.HeartbeatInterval, time.Second)
	setDefault(&o.HeartbeatBytesPerSecond, 2048)
	setDefault(&o.Timing, membership.DefaultTiming())
	setDefault(&o.MaxPullBytes, 512<<10)
	setDefault(&o.MaxPullRecords, 400)
	setDefault(&o.SyncParallel, 64)
	setDefault(&o.MaxAuxiliaryTombstones, 128)
	if o.Report == nil {
		o.Report = func(Event) {}
	}
	if o.OnDepartures == nil {
		o.OnDepartures = func([]model.Departure) {}
	}
	if o.OnSnapshot == nil {
		o.OnSnapshot = func(*Snapshot) {}
	}
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o Options) validate() error {
	switch {
	case o.Self.ID == "" || o.Self.Domain == "" || o.Self.Region == "" || o.Self.PeerAddress == "":
		return errors.New("distribution: the node needs an ID, a region, a failure domain and a peer address")
	case o.Store == nil || o.Puller == nil:
		return errors.New("distribution: a store and a puller are required")
	}
	return nil
}
