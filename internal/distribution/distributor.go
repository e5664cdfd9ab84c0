// Package distribution spreads member records and documents over the fleet. Two watchers of each failure domain watch
// the store; all nodes pull from three partners each round and answer their pulls. The package decides nothing about
// documents beyond their order; it publishes immutable snapshots.
package distribution

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Distributor is the part of a node that takes part in the exchange. Its methods are safe for concurrent use.
type Distributor struct {
	options Options

	mu     sync.Mutex
	random *rand.Rand
	tables tables
	peers  map[string]*peerState
	ages   permitAges
	self   ownRecord
	round  uint64
	// view is valid for viewGeneration of the member table.
	view           *membership.View
	viewGeneration uint64
	watching       bool
	// synced means that the node has read a peer's records from the beginning and was in contact with peers since.
	synced     bool
	isolated   bool
	registered bool
	storeHeard time.Duration
	peerHeard  time.Duration
	// reported are the revisions of the rejected documents that were reported.
	reported map[string]int64
	// deadRecords are the member records of the last list that this node is to delete.
	deadRecords []memberRecord

	publishing sync.Mutex
	publisher  publisher
	snapshot   atomic.Pointer[Snapshot]
	ready      atomic.Bool
	// membersTried is closed after the first attempt to register and list the members.
	membersTried chan struct{}
	// urgent has a message while the own record has a change that peers must learn at once.
	urgent chan struct{}
	// unpublished has a message while changes of members wait for memberPause.
	unpublished chan struct{}
	spread      spread
	pulls       sync.WaitGroup
}

// never stands for an answer that did not come yet.
const never = time.Duration(-1)

// New returns a Distributor that is not started, or an error that names the missing option.
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
			ejections:  newAuxiliary(EjectionPrefix, options.MaxAuxiliaryTombstones),
			quarantine: newAuxiliary(QuarantinePrefix, options.MaxAuxiliaryTombstones),
		},
		peers:      map[string]*peerState{},
		ages:       permitAges{},
		self:       own,
		storeHeard: never,
		peerHeard:  never,
		reported:   map[string]int64{},

		spread:       newSpread(),
		membersTried: make(chan struct{}),
		urgent:       make(chan struct{}, 1),
		unpublished:  make(chan struct{}, 1),
	}
	d.publish()
	return d, nil
}

// Snapshot returns the newest snapshot, never nil.
func (d *Distributor) Snapshot() *Snapshot { return d.snapshot.Load() }

// Ready reports whether the configuration is complete enough to accept callers. Once true it stays true.
func (d *Distributor) Ready() bool { return d.ready.Load() }

// Status returns how the node stands with store and peers.
func (d *Distributor) Status() Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Now()
	return Status{
		Ready:      d.ready.Load(),
		Isolated:   d.isolated,
		Watcher:    d.watching,
		Registered: d.registered,
		Complete:   d.tables.config.Complete(),
		StoreAge:   age(now, d.storeHeard),
		PeerAge:    age(now, d.peerHeard),
	}
}

func age(now, heard time.Duration) time.Duration {
	if heard == never {
		return never
	}
	return now - heard
}

// SetTargets replaces the targets of the node's own record; the caller must not change them afterwards. Peers learn of
// changes of phase, slots, address, suspicion or announcement within the next rounds, of mere load figures every
// Options.LoadInterval.
func (d *Distributor) SetTargets(targets []model.Target) {
	d.mu.Lock()
	d.self.setTargets(targets)
	urgent := d.self.urgent
	d.mu.Unlock()
	if urgent {
		d.hurry()
	}
}

// SetStopping marks the node as stopping in its own record.
func (d *Distributor) SetStopping() {
	d.mu.Lock()
	d.self.setStopping()
	d.mu.Unlock()
	d.hurry()
}

// hurry makes the next round begin soon, because the pulls of a round carry the own record.
func (d *Distributor) hurry() { signal(d.urgent) }

// signal leaves a message in the channel unless it has one.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Learn merges a document that this node itself read from the store or wrote to it, by a call that started at the given
// time, so that it is in force here before the watchers report it. Documents outside the distributed prefixes are
// ignored.
func (d *Distributor) Learn(document config.Document, started time.Duration) {
	d.mu.Lock()
	d.applyDocuments([]config.Document{document})
	d.ages.note(document, started)
	d.mu.Unlock()
	d.publish()
}

// Run takes part in the exchange until ctx ends. It returns after all its goroutines have ended.
func (d *Distributor) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { d.runRounds(ctx) })
	tasks.Go(func() { d.runStart(ctx) })
	tasks.Go(func() { d.runMembers(ctx) })
	tasks.Go(func() { d.runPublish(ctx) })
	tasks.Go(func() { d.runSpread(ctx) })
	for _, prefix := range d.prefixes() {
		tasks.Go(func() { d.runWatch(ctx, prefix) })
	}
	tasks.Wait()
	d.pulls.Wait()
}

// prefixes returns the prefixes whose documents this node takes from the store while it is a watcher.
func (d *Distributor) prefixes() []string {
	if d.options.NoEjections {
		return []string{ConfigPrefix, QuarantinePrefix}
	}
	return []string{ConfigPrefix, EjectionPrefix, QuarantinePrefix}
}
