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
	if d.start(ctx) || d.retryStart(ctx) {
		d.becomeReady()
	}
}

// start reads the peers and then the store. It returns true if the node has a configuration.
func (d *Distributor) start(ctx context.Context) bool {
	if !d.syncFromAny(ctx, d.options.Seeds) {
		d.syncFromAny(ctx, d.firstPeerAddresses(ctx))
	}
	if d.readConfig(ctx, 0) == nil {
		return d.complete(ConfigPrefix) > 0
	}
	return d.syncFromAll(ctx)
}

// retryStart reads the store and the peers side by side until the node has a configuration, so that peers that do not answer
// do not delay the news of the store's return. It returns false if ctx ended first.
func (d *Distributor) retryStart(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var ready atomic.Bool
	var tries sync.WaitGroup
	retry := func(try startTry, pause *backoff) {
		if d.retryUntilReady(ctx, try, pause) {
			ready.Store(true)
			cancel()
		}
	}
	tries.Go(func() { retry(d.tryStore, d.newBackoff(d.options.ConfirmBackoffMax)) })
	tries.Go(func() { retry(d.tryPeers, d.newBackoff(d.options.BackoffMax)) })
	tries.Wait()
	return ready.Load()
}

// startTry returns true if the node has a configuration. It may reset the pause before the next try.
type startTry func(ctx context.Context, pause *backoff) bool

// retryUntilReady repeats a try until it returns true. It returns false if ctx ended first.
func (d *Distributor) retryUntilReady(ctx context.Context, try startTry, pause *backoff) bool {
	for {
		returned := d.awaitedReturn()
		if try(ctx, pause) {
			return true
		}
		if !d.pauseUntil(ctx, returned, pause.next(), recoveryJitter) {
			return false
		}
	}
}

// tryStore reads the configuration from the store, unless another read or a peer has just confirmed it. Without one there, it
// may be written at any moment.
func (d *Distributor) tryStore(ctx context.Context, pause *backoff) bool {
	if d.isConfirmedNow() && d.complete(ConfigPrefix) > 0 {
		return true
	}
	if d.readConfig(ctx, 0) != nil {
		return false
	}
	pause.reset()
	return d.complete(ConfigPrefix) > 0
}

// tryPeers reads the configuration from all peers, which may have one that the store did not confirm recently.
func (d *Distributor) tryPeers(ctx context.Context, _ *backoff) bool { return d.syncFromAll(ctx) }

// firstPeerAddresses returns the gossip peers that the first list of the members has brought. If there are none, other nodes
// may be starting as well, and the list after the registration brings them.
func (d *Distributor) firstPeerAddresses(ctx context.Context) []string {
	for _, listed := range []chan struct{}{d.firstListDone, d.firstJoinDone} {
		select {
		case <-listed:
		case <-ctx.Done():
			return nil
		}
		if addresses := d.gossipPeerAddresses(); len(addresses) > 0 {
			return addresses
		}
	}
	return nil
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

// nextSyncAfter is the time without an answer after which the next peer is read as well.
const nextSyncAfter = 500 * time.Millisecond

// syncFromAny pulls from the addresses until one of them has provided all its data. It goes on to the next address after a
// failure, or if there is no result within nextSyncAfter.
func (d *Distributor) syncFromAny(ctx context.Context, addresses []string) bool {
	var pulls sync.WaitGroup
	defer pulls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan bool, len(addresses))
	for pending, next := 0, 0; pending > 0 || next < len(addresses); {
		var hedge <-chan time.Time
		if next < len(addresses) {
			address := addresses[next]
			pulls.Go(func() { results <- d.syncFrom(ctx, address, d.pullOnce) == nil })
			pending, next = pending+1, next+1
			hedge = time.After(nextSyncAfter)
		}
		select {
		case done := <-results:
			if done {
				return true
			}
			pending--
		case <-hedge:
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
		result, err := pull(ctx, address)
		if err == nil && result.offer != nil {
			err = d.fetchOffer(ctx, result.offer)
		}
		if err != nil || !result.more {
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
	d.syncFromEach(ctx, d.options.Seeds, d.pullOnce)
	responded := d.syncFromEach(ctx, d.allPeerAddresses(), d.pullDocuments)
	return responded && d.complete(ConfigPrefix) > 0
}

// syncFromEach pulls from all addresses. It returns true if one of them has provided all its data.
func (d *Distributor) syncFromEach(ctx context.Context, addresses []string, pull pullFunc) bool {
	var responded atomic.Bool
	var workers sync.WaitGroup
	queue := make(chan string)
	for range min(d.options.SyncParallel, len(addresses)) {
		workers.Go(func() {
			for address := range queue {
				if d.syncFrom(ctx, address, pull) == nil {
					responded.Store(true)
				}
			}
		})
	}
	for _, address := range addresses {
		queue <- address
	}
	close(queue)
	workers.Wait()
	return responded.Load()
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
