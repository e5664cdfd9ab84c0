package distribution

import (
	"context"
	"time"

	"github.com/sardinereach/sardinereach/internal/membership"
)

// jitterFraction is the fraction of an interval by which it is randomized, so that nodes do not act in lockstep.
const jitterFraction = 0.1

// runRounds runs a gossip round every RoundInterval.
func (d *Distributor) runRounds(ctx context.Context) {
	for {
		for _, peer := range d.beginRound() {
			d.startPull(ctx, peer.Address)
		}
		d.publish()
		if !d.awaitRound(ctx) {
			return
		}
	}
}

// earlyRoundDelay is the delay of an early round, so that urgent changes that occur together share one round.
const earlyRoundDelay = 100 * time.Millisecond

// awaitRound waits for the next regular or early round. It returns false if ctx ended.
func (d *Distributor) awaitRound(ctx context.Context) bool {
	timer := time.NewTimer(d.jitter(d.options.RoundInterval, jitterFraction))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.earlyRound:
		return sleep(ctx, earlyRoundDelay)
	case <-ctx.Done():
		return false
	}
}

// beginRound updates the own record and the states of members, and returns the gossip peers of the round.
func (d *Distributor) beginRound() []membership.GossipPeer {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Now()
	d.round++
	d.updateOwnRecord(now)
	d.expireMembers(now)
	d.tables.members.RecordPosition(now, d.options.RecentWindow)
	d.updateIsolation(now)
	d.removeUnusedPeers()
	d.chunks.expire(d.tables.config, now)
	view := d.currentView()
	d.updateWatcherRole(view)
	return view.GossipPeers(d.round, d.options.Seed)
}

// updateOwnRecord replaces the own record if a heartbeat or a change is due.
func (d *Distributor) updateOwnRecord(now time.Duration) {
	interval := d.heartbeatInterval()
	d.tables.members.SetTiming(d.options.Timing.Scaled(interval))
	next := d.self.advance(now, interval, d.loadInterval(), d.tables.config.Complete())
	if next == nil {
		return
	}
	if next.Version != d.tables.members.Self().Version {
		d.publisher.membersChanged = true
	}
	d.tables.members.SetSelf(next)
}

func (d *Distributor) heartbeatInterval() time.Duration {
	o := d.options
	return membership.Interval(d.tables.members.Len(), heartbeatBytes, o.HeartbeatBytesPerSecond, o.HeartbeatInterval)
}

// loadInterval returns the minimum time between two versions of the own record that differ only in load figures. It
// assumes that the other nodes have as many targets as this one.
func (d *Distributor) loadInterval() time.Duration {
	o := d.options
	size := recordBytes + recordTargetBytes*len(d.self.targets)
	return membership.Interval(d.tables.members.Len(), size, o.LoadBytesPerSecond, o.LoadInterval)
}

func (d *Distributor) expireMembers(now time.Duration) {
	for _, transition := range d.tables.members.Expire(now) {
		d.options.Report(Event{
			Kind: MemberChanged, Node: transition.Node, From: transition.From, To: transition.To,
		})
	}
}

// updateIsolation reports when neither the store nor a peer has responded for IsolatedAfter, and when one responds
// again. It also clears synced when no peer has responded for half of RecentWindow.
func (d *Distributor) updateIsolation(now time.Duration) {
	if now-d.lastPeerResponse >= d.options.RecentWindow/2 {
		d.synced = false
	}
	noContact := now-max(d.lastStoreResponse, d.lastPeerResponse, 0) >= d.options.IsolatedAfter
	if noContact == d.isolated {
		return
	}
	d.isolated = noContact
	kind := Reconnected
	if noContact {
		kind = Isolated
	}
	d.options.Report(Event{Kind: kind, Revision: d.tables.config.Complete()})
}

func (d *Distributor) updateWatcherRole(view *membership.View) {
	watching := view.IsWatcher()
	if watching == d.watching {
		return
	}
	d.watching, d.watchingSince = watching, d.options.Now()
	// The probes of a new watcher confirm nothing before its first watch.
	d.confirmation.synced = false
	kind := WatchStopped
	if watching {
		kind = WatchStarted
	}
	d.options.Report(Event{Kind: kind})
}

func (d *Distributor) currentView() *membership.View {
	generation := d.tables.members.Generation()
	if d.view == nil || d.viewGeneration != generation {
		d.view = d.tables.members.View()
		d.viewGeneration = generation
	}
	return d.view
}

// removeUnusedPeers removes the state of peers from which this node has not pulled for unusedPeerRounds.
func (d *Distributor) removeUnusedPeers() {
	for address, peer := range d.peers {
		if !peer.inFlight && !peer.fetching && d.round-peer.lastUsedRound > unusedPeerRounds {
			delete(d.peers, address)
		}
	}
}

// jitter returns the interval, randomly longer or shorter by up to the given fraction.
func (d *Distributor) jitter(interval time.Duration, fraction float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(float64(interval) * (1 + fraction*(2*d.random.Float64()-1)))
}

// randomBelow returns a random duration below limit.
func (d *Distributor) randomBelow(limit time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.random.Float64() * float64(limit))
}

// sleep returns false if ctx ended first.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
