package distribution

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/store"
)

// maxSyncPulls bounds the pulls from one peer in one attempt to start, so that a peer that always has more does not
// hold up the start.
const maxSyncPulls = 1000

// runStart brings the configuration up to date until the node is ready.
//
// With the store up, the peers give most of the documents and the store proves that none is missing. With the store
// down, every seed and every peer that can be reached is read, because any of them may hold the newest document.
func (d *Distributor) runStart(ctx context.Context) {
	pause := d.newBackoff(d.options.BackoffMax)
	for ctx.Err() == nil {
		if d.start(ctx) {
			d.becomeReady()
			return
		}
		if !sleep(ctx, pause.next()) {
			return
		}
	}
}

func (d *Distributor) start(ctx context.Context) bool {
	if !d.pullAny(ctx, d.options.Seeds) {
		d.awaitMembers(ctx)
		d.pullAny(ctx, d.partnerAddresses())
	}
	if d.readConfig(ctx) == nil {
		return true
	}
	return d.pullEveryone(ctx)
}

// awaitMembers waits for the first attempt to register and to list the members.
func (d *Distributor) awaitMembers(ctx context.Context) {
	select {
	case <-d.membersTried:
	case <-ctx.Done():
	}
}

func (d *Distributor) becomeReady() {
	d.mu.Lock()
	revision := d.tables.config.Complete()
	d.mu.Unlock()
	// What was read at the start must be in the snapshot before the node takes callers.
	d.publishNow()
	d.ready.Store(true)
	d.options.Report(Event{Kind: BecameReady, Revision: revision})
}

func (d *Distributor) partnerAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for _, partner := range d.currentView().GossipPeers(d.round, d.options.Seed) {
		addresses = append(addresses, partner.Address)
	}
	return addresses
}

// pullAny pulls from the addresses until one of them answered and has no more to give.
func (d *Distributor) pullAny(ctx context.Context, addresses []string) bool {
	for _, address := range addresses {
		if d.drain(ctx, address, d.pullOnce) == nil {
			return true
		}
	}
	return false
}

// errOwnAddress is returned for a pull from the node itself, such as a seed list that names all nodes.
var errOwnAddress = errors.New("distribution: own address")

// drain pulls from the address until it has no more to give.
func (d *Distributor) drain(
	ctx context.Context, address string, pull func(context.Context, string) (bool, error),
) error {
	if address == d.options.Self.PeerAddress {
		return errOwnAddress
	}
	for range maxSyncPulls {
		more, err := pull(ctx, address)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

// readConfig reads from the store what the peers did not have.
func (d *Distributor) readConfig(ctx context.Context) error {
	d.mu.Lock()
	complete := d.tables.config.Complete()
	d.mu.Unlock()
	if complete == 0 {
		return d.list(ctx, ConfigPrefix)
	}
	err := d.watch(ctx, ConfigPrefix, 0)
	if errors.Is(err, store.ErrCompacted) {
		return d.list(ctx, ConfigPrefix)
	}
	return err
}

// pullEveryone reads the documents of all seeds and members. It returns true if one of them answered and has a
// configuration: a fleet that starts without the store has none.
func (d *Distributor) pullEveryone(ctx context.Context) bool {
	for _, seed := range d.options.Seeds {
		_ = d.drain(ctx, seed, d.pullOnce)
	}
	var answered atomic.Bool
	var workers sync.WaitGroup
	addresses := make(chan string)
	for range d.options.SyncParallel {
		workers.Go(func() {
			for address := range addresses {
				if d.drain(ctx, address, d.pullDocuments) == nil {
					answered.Store(true)
				}
			}
		})
	}
	for _, address := range d.everyone() {
		addresses <- address
	}
	close(addresses)
	workers.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	return answered.Load() && d.tables.config.Complete() > 0
}

// everyone returns the addresses of the seeds and of all members, dead ones included: a member may look dead here and
// still be reachable.
func (d *Distributor) everyone() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	addresses := slices.Clone(d.options.Seeds)
	for _, member := range d.tables.members.Snapshot().Members {
		addresses = append(addresses, member.Record.PeerAddress)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
