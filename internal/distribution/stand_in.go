package distribution

import (
	"context"
	"time"

	"github.com/sardinereach/sardinereach/internal/membership"
)

const (
	// standInAfter is the age of the newest confirmation from which the first standby of a domain reads the store itself.
	// Each further standby waits standInStep longer, so that one of them usually keeps the others quiet. A change has to be
	// active 2.5 s after its acknowledgement, also if the watchers are lost right before it. Beyond standInRanks the waits
	// grow faster: in a domain of 160 nodes, few of them call a store that is down.
	standInAfter = 1500 * time.Millisecond
	standInStep  = 300 * time.Millisecond
	standInRanks = 16
	// standInAsk is the time before that at which a standby asks the watchers for a newer confirmation. Gossip alone takes
	// several seconds in large domains.
	standInAsk = 700 * time.Millisecond
	// standInCheck is the time between two checks of the age.
	standInCheck = 250 * time.Millisecond
	// standInWait is the wait of a stand-in's watches. Each answer confirms the configuration to the other nodes.
	standInWait = time.Second
)

// runStandIn reads the configuration from the store while this node is not a watcher and the newest confirmation that it
// knows is older than its rank among the standbys of its domain allows. The watchers of the domain may be lost long before
// they count as dead, or the store may refuse them. There is no agreement: additional readers only cost calls, which the
// ranks bound.
func (d *Distributor) runStandIn(ctx context.Context) {
	pause := d.newBackoff(d.options.BackoffMax)
	retryAt := time.Duration(0)
	for sleep(ctx, d.jitter(standInCheck, jitterFraction)) {
		d.checkConfirmationAge()
		rank, age := d.standInState()
		limit := standInLimit(rank)
		switch {
		case rank < 0 || age < limit-standInAsk:
			pause.reset()
			retryAt = 0
		case age < limit:
			d.askWatchers(ctx)
		case d.options.Now() < retryAt:
		case d.standIn(ctx):
			pause.reset()
		default:
			d.askElsewhere(ctx)
			// The pause grows with the rank, so that the calls of a whole domain to a store that is down stay few.
			d.setWaitStep(ConfigPrefix, stepPause)
			retryAt = d.options.Now() + pause.next()*time.Duration(rank+1)
		}
	}
}

// standInLimit returns the age of the newest confirmation from which the standby with the rank reads the store.
func standInLimit(rank int) time.Duration {
	return standInAfter + time.Duration(rank+rank*rank/standInRanks)*standInStep
}

// standInState returns the rank of this node among the standbys of its domain and the age of the newest confirmation. The
// rank is negative if the node must not stand in.
func (d *Distributor) standInState() (rank int, age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watching || !d.ready.Load() {
		return -1, 0
	}
	return d.currentView().WatchRank() - membership.WatchersPerDomain, d.options.Now() - max(d.confirmation.newest(), 0)
}

// standIn reads the configuration until another node has confirmed it during the last read, or this node has become a
// watcher. It returns false if a read failed.
func (d *Distributor) standIn(ctx context.Context) bool {
	started := false
	defer func() {
		if started {
			d.options.Report(Event{Kind: StandInStopped})
		}
	}()
	for wait := time.Duration(0); ; wait = standInWait {
		previous := d.ownConfirmation()
		if wait > 0 {
			d.askWatchers(ctx)
		}
		if d.readConfig(ctx, wait) != nil {
			return false
		}
		if !started {
			started = true
			d.options.Report(Event{Kind: StandInStarted, Revision: d.complete(ConfigPrefix)})
		}
		if d.isConfirmedByPeers(previous) || d.isWatching() {
			return true
		}
		if !sleep(ctx, d.options.WatchPause) {
			return true
		}
	}
}

// ownConfirmation returns the time of the newest confirmation that this node received from the store itself.
func (d *Distributor) ownConfirmation() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmation.own
}

// isConfirmedByPeers reports whether a peer has sent a confirmation that is newer than the own one of the time previous. It
// is from another node then.
func (d *Distributor) isConfirmedByPeers(previous time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmation.peers > previous
}

// askWatchers pulls from the watchers of the domain.
func (d *Distributor) askWatchers(ctx context.Context) {
	d.mu.Lock()
	addresses := d.currentView().WatcherAddresses()
	d.mu.Unlock()
	for _, address := range addresses {
		d.startPull(ctx, address)
	}
}

// askElsewhere pulls from a member of another domain, whose nodes may reach the store.
func (d *Distributor) askElsewhere(ctx context.Context) {
	d.mu.Lock()
	address := d.currentView().OtherDomainAddress(d.random.Uint64())
	d.mu.Unlock()
	if address != "" {
		d.startPull(ctx, address)
	}
}
