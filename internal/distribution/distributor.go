// Package distribution propagates member records and documents through the fleet. Two watchers in each failure domain
// watch the store. All nodes pull from three gossip peers in each round and respond to the pulls of others. The package
// decides only which revision of a document is newer. It publishes immutable snapshots.
package distribution

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/departure"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Distributor is the gossip participant of a node. Its methods are safe for concurrent use.
type Distributor struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
	tables tables
	peers  map[string]*peerState
	ages   permitAges
	chunks chunkCache
	self   ownRecord
	round  uint64
	// view was computed for viewGeneration of the member table.
	view           *membership.View
	viewGeneration uint64
	// watching means that this node is a watcher of its domain, since the time watchingSince.
	watching      bool
	watchingSince time.Duration
	// synced means that the node has read the complete records of some peer and has been in contact with peers since.
	synced     bool
	isolated   bool
	departures departures
	// storedRevision is the revision of the own member record in the store as far as this node knows, 0 if there is none.
	storedRevision int64
	// registered means that the member record was written to the store or found there, in registeredEra.
	registered    bool
	registeredEra int64
	// era is the newest era of the store that this node has received, if eraKnown.
	eraKnown          bool
	era               int64
	probe             storeProbe
	confirmation      confirmation
	attempts          storeAttempts
	waiting           confirmationWait
	returned          storeReturn
	lastStoreResponse time.Duration
	lastPeerResponse  time.Duration
	// reportedRejections holds, by key, the revisions of invalid documents that were already reported.
	reportedRejections map[string]int64
	reportedAccounts   reportedAccounts
	// deadRecords are the member records of the last list that this node has to delete.
	deadRecords []memberRecord

	publishMu sync.Mutex
	publisher publisher
	snapshot  atomic.Pointer[Snapshot]
	ready     atomic.Bool
	// firstListDone is closed after the first attempt to list the members.
	firstListDone chan struct{}
	// firstJoinDone is closed after the first attempt to register and list the members.
	firstJoinDone chan struct{}
	// newEra has a message while a restore of the store requires a check of the own member record.
	newEra chan struct{}
	// recordUnwritten has a message while the own member record has to be written because an earlier write has failed.
	recordUnwritten chan struct{}
	// recordWrites has a message while the own member record is written.
	recordWrites chan struct{}
	// earlyRound has a message while the own record has a change that has to reach the peers before the next regular
	// round.
	earlyRound chan struct{}
	// publishPending has a message while changes of members wait for memberSnapshotInterval.
	publishPending chan struct{}
	propagation    propagation
	pulls          sync.WaitGroup
}

// noResponseYet is the time and the age of the last response before the first one was received.
const noResponseYet = time.Duration(-1)

// New returns a Distributor that is not running yet, or an error that names the missing option.
func New(options Options) (*Distributor, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	options = options.withDefaults()
	own := newOwnRecord(options.Self)
	d := &Distributor{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, uint64(options.Self.Incarnation))),
		tables: tables{
			members:    membership.NewTable(own.record, options.Timing),
			config:     config.NewTable(ConfigPrefix, options.MaxTombstones),
			ejections:  newAuxiliaryTable(EjectionPrefix, options.MaxAuxiliaryTombstones),
			quarantine: newAuxiliaryTable(QuarantinePrefix, options.MaxAuxiliaryTombstones),
		},
		peers:              map[string]*peerState{},
		ages:               permitAges{},
		chunks:             newChunkCache(),
		self:               own,
		probe:              newStoreProbe(),
		confirmation:       newConfirmation(),
		attempts:           newStoreAttempts(),
		waiting:            confirmationWait{step: stepNone},
		lastStoreResponse:  noResponseYet,
		lastPeerResponse:   noResponseYet,
		reportedRejections: map[string]int64{},
		reportedAccounts:   newReportedAccounts(),

		propagation:   newPropagation(),
		firstListDone: make(chan struct{}),
		firstJoinDone: make(chan struct{}),
		newEra:        make(chan struct{}, 1),

		departures:      departures{kept: departure.NewSet()},
		recordUnwritten: make(chan struct{}, 1),
		recordWrites:    make(chan struct{}, 1),
		earlyRound:      make(chan struct{}, 1),
		publishPending:  make(chan struct{}, 1),
	}
	d.publish()
	return d, nil
}

// Snapshot returns the newest snapshot, never nil.
func (d *Distributor) Snapshot() *Snapshot { return d.snapshot.Load() }

// Ready reports whether the configuration is complete enough to accept callers. Once true, it stays true.
func (d *Distributor) Ready() bool { return d.ready.Load() }

// Status returns the readiness, the role and the connectivity of the node.
func (d *Distributor) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Now()
	return Status{
		Ready:      d.ready.Load(),
		Isolated:   d.isolated,
		Watcher:    d.watching,
		Registered: d.isRegistered(),
		Complete:   d.tables.config.Complete(),
		StoreAge:   age(now, d.lastStoreResponse),
		PeerAge:    age(now, d.lastPeerResponse),
	}
}

func age(now, lastResponse time.Duration) time.Duration {
	if lastResponse == noResponseYet {
		return noResponseYet
	}
	return now - lastResponse
}

// SetTargets replaces the targets in the node's own record. The caller must not modify the slice afterwards. Changes of
// phase, slots, address, suspicion or announcement are sent to peers in the next rounds. Changes of load figures alone
// are sent every Options.LoadInterval.
func (d *Distributor) SetTargets(targets []model.Target) {
	d.mu.Lock()
	d.self.setTargets(targets)
	urgent := d.self.urgent
	d.mu.Unlock()
	if urgent {
		d.requestEarlyRound()
	}
}

// SetStopping marks the node as stopping in its own record.
func (d *Distributor) SetStopping() {
	d.mu.Lock()
	d.self.setStopping()
	d.mu.Unlock()
	d.requestEarlyRound()
}

// requestEarlyRound starts the next round soon, because the pulls of a round carry the own record.
func (d *Distributor) requestEarlyRound() { signal(d.earlyRound) }

// signal puts a message into the channel unless it already has one.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// MergeDocument merges a document that this node itself read from the store or wrote to it, so that it is active here
// before the watchers report it. startedAt is the time at which the store call started. Documents outside the
// distributed prefixes are ignored.
func (d *Distributor) MergeDocument(document config.Document, startedAt time.Duration) {
	d.mu.Lock()
	d.applyDocuments([]config.Document{document}, d.received("", startedAt))
	d.ages.record(document, startedAt)
	d.mu.Unlock()
	d.publish()
}

// Run participates in the gossip until ctx ends. It returns after all its goroutines have ended.
func (d *Distributor) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { d.runRounds(ctx) })
	tasks.Go(func() { d.runStart(ctx) })
	tasks.Go(func() { d.runMembers(ctx) })
	tasks.Go(func() { d.runDepartures(ctx) })
	tasks.Go(func() { d.runPublish(ctx) })
	tasks.Go(func() { d.runPropagation(ctx) })
	tasks.Go(func() { d.runProbes(ctx) })
	tasks.Go(func() { d.runStandIn(ctx) })
	for _, prefix := range d.prefixes() {
		tasks.Go(func() { d.runWatch(ctx, prefix) })
	}
	tasks.Wait()
	d.pulls.Wait()
}

// prefixes returns the prefixes that this node watches in the store while it is a watcher.
func (d *Distributor) prefixes() []string {
	if d.options.NoEjections {
		return []string{ConfigPrefix, QuarantinePrefix}
	}
	return []string{ConfigPrefix, EjectionPrefix, QuarantinePrefix}
}
