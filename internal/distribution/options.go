package distribution

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
)

// Options configure a Distributor. Self, Store and Puller are required; a zero duration or number takes its default.
type Options struct {
	// Self is the identity of the node. Its peer address must not be empty.
	Self   model.Node
	Store  store.Store
	Puller Puller
	// Seeds are peer addresses (host:port) to try when the store has no members to offer.
	Seeds []string
	// Seed feeds the random numbers for jitter and the choice of partners.
	Seed uint64
	// Now is the node's monotonic clock; nil means the time since New. Timers come from package time.
	Now func() time.Duration
	// Report receives events; it must not block and must not call the Distributor. Nil drops them.
	Report func(Event)
	// OnSnapshot is called with each new snapshot, one call at a time and first from New; it must not block and must not
	// call the Distributor. It may be nil.
	OnSnapshot func(*Snapshot)

	// NoEjections means that the fleet writes no permits for ejections, so that the store is not watched for them.
	NoEjections bool

	// RoundInterval is the time between two rounds of pulls.
	RoundInterval time.Duration
	// PullTimeout limits one Pull.
	PullTimeout time.Duration
	// StoreTimeout limits one store call, on top of the wait of a watch.
	StoreTimeout time.Duration
	// WatchWait is how long a watch waits for changes. A connection that went silent is noticed only after this time and
	// StoreTimeout, so it is part of the time until a change is in force.
	WatchWait time.Duration
	// WatchPause is the least time between two watches of one prefix, so that many changes share one call.
	WatchPause time.Duration
	// BackoffMin and BackoffMax bound the pause after a failed store call. It doubles with each failure, with jitter.
	BackoffMin, BackoffMax time.Duration
	// WatchBackoffMax bounds the pause of a watcher. It is shorter, because watchers are few and a change right after an
	// outage waits for them.
	WatchBackoffMax time.Duration
	// RegisterJitter spreads the writes of member records when many nodes start at a time.
	RegisterJitter time.Duration
	// RelistInterval is how often a watcher lists the members, to find unknown ones and delete dead ones.
	RelistInterval time.Duration
	// LoadInterval is the least time between two versions of the own record that differ only in load figures.
	LoadInterval time.Duration
	// LoadBytesPerSecond is what the load figures of all nodes may cost a node; in large fleets it makes the interval
	// between two versions longer.
	LoadBytesPerSecond int
	// IsolatedAfter is how long store and peers may be silent before Isolated is reported.
	IsolatedAfter time.Duration
	// RecentWindow is the time whose changes a new partner sends, longer than a change takes to spread.
	RecentWindow time.Duration
	// HeartbeatInterval is the least time between two heartbeats.
	HeartbeatInterval time.Duration
	// HeartbeatBytesPerSecond is what the heartbeats of all nodes may cost a node; in large fleets it makes the interval
	// between heartbeats longer.
	HeartbeatBytesPerSecond int
	// Timing holds the limits of failure detection at one heartbeat per second.
	Timing membership.Timing
	// MaxPullBytes is the size from which the configuration documents of a Pull answer are cut. The last document may go
	// over it by up to a megabyte.
	MaxPullBytes int
	// MaxPullRecords is the number of records from which a Pull answer is cut. Permit and quarantine documents are not
	// cut. With the defaults an answer stays under 4 MiB, the bound of drpc, up to about 1.5 MB of those.
	MaxPullRecords int
	// SyncParallel is the number of pulls at a time when a starting node reads all peers. Each that is cut off takes
	// PullTimeout, so a few would hold up the start for minutes while a region is cut off.
	SyncParallel int
	// MaxTombstones is the number of deleted configuration documents that are remembered one by one.
	MaxTombstones int
	// MaxAuxiliaryTombstones is the same for permit and quarantine documents, each. A new partner sends all of them.
	MaxAuxiliaryTombstones int
}

// Measured sizes in a Pull answer, see docs/measurements/distribution.md, times the partners that may send them.
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
	setDefault(&o.WatchPause, 250*time.Millisecond)
	setDefault(&o.BackoffMin, 500*time.Millisecond)
	setDefault(&o.BackoffMax, 30*time.Second)
	setDefault(&o.WatchBackoffMax, 8*time.Second)
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
