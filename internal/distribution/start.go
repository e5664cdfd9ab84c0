package distribution

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/store"
)

// maxSyncPulls limits the pulls from one peer in one start attempt, so that a peer that always has more data does not
// delay the start.
const maxSyncPulls = 1000

// runStart updates the configuration until the node is ready.
//
// If the store is up, the peers provide most documents and the store confirms that none is missing. If the store is
// down, every reachable seed and peer is read, because any of them may have the newest document.
func (d *Distributor) runStart(ctx context.Context) {
	pause := d.newBackoff(d.options.BackoffMax)
	for ctx.Err() == nil {
		ready, storeResponded := d.start(ctx)
		if ready {
			d.becomeReady()
			return
		}
		if storeResponded {
			// There is no configuration yet. It may be written at any moment.
			pause.reset()
		}
		if !sleep(ctx, pause.next()) {
			return
		}
	}
}

func (d *Distributor) start(ctx context.Context) (ready, storeResponded bool) {
	if !d.syncFromAny(ctx, d.options.Seeds) {
		d.awaitFirstJoin(ctx)
		d.syncFromAny(ctx, d.gossipPeerAddresses())
	}
	if d.readConfig(ctx, 0) == nil {
		return d.complete(ConfigPrefix) > 0, true
	}
	return d.syncFromAll(ctx), false
}

// awaitFirstJoin waits for the first attempt to register and to list the members.
func (d *Distributor) awaitFirstJoin(ctx context.Context) {
	select {
	case <-d.firstJoinDone:
	case <-ctx.Done():
	}
}

func (d *Distributor) becomeReady() {
	revision := d.complete(ConfigPrefix)
	// What was read at the start must be in the snapshot before the node accepts callers.
	d.publishNow()
	d.ready.Store(true)
	d.options.Report(Event{Kind: BecameReady, Revision: revision})
}

func (d *Distributor) gossipPeerAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for _, peer := range d.currentView().GossipPeers(d.round, d.options.Seed) {
		addresses = append(addresses, peer.Address)
	}
	return addresses
}

// syncFromAny pulls from the addresses in order until one of them has provided all its data.
func (d *Distributor) syncFromAny(ctx context.Context, addresses []string) bool {
	for _, address := range addresses {
		if d.syncFrom(ctx, address, d.pullOnce) == nil {
			return true
		}
	}
	return false
}

// errOwnAddress is returned for a pull from the node itself, for example if a seed list contains all nodes.
var errOwnAddress = errors.New("distribution: own address")

// syncFrom pulls from the address until it has no more data.
func (d *Distributor) syncFrom(ctx context.Context, address string, pull pullFunc) error {
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

// readConfig reads from the store the documents that the peers did not have. If there are none, it waits for a change.
func (d *Distributor) readConfig(ctx context.Context, wait time.Duration) error {
	if d.complete(ConfigPrefix) == 0 {
		return d.list(ctx, ConfigPrefix)
	}
	err := d.watch(ctx, ConfigPrefix, wait)
	if errors.Is(err, store.ErrCompacted) {
		return d.list(ctx, ConfigPrefix)
	}
	return err
}

// syncFromAll reads the documents of all seeds and members. It returns true if one of them responded and a
// configuration was received: in a fleet that starts without the store, no peer has one.
func (d *Distributor) syncFromAll(ctx context.Context) bool {
	for _, seed := range d.options.Seeds {
		_ = d.syncFrom(ctx, seed, d.pullOnce)
	}
	var responded atomic.Bool
	var workers sync.WaitGroup
	addresses := make(chan string)
	for range d.options.SyncParallel {
		workers.Go(func() {
			for address := range addresses {
				if d.syncFrom(ctx, address, d.pullDocuments) == nil {
					responded.Store(true)
				}
			}
		})
	}
	for _, address := range d.allPeerAddresses() {
		addresses <- address
	}
	close(addresses)
	workers.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	return responded.Load() && d.tables.config.Complete() > 0
}

// allPeerAddresses returns the addresses of the seeds and of all members. Dead ones are included, because a member that
// this node considers dead may still be reachable.
func (d *Distributor) allPeerAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	addresses := slices.Clone(d.options.Seeds)
	for _, member := range d.tables.members.Snapshot().Members {
		addresses = append(addresses, member.Record.PeerAddress)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
