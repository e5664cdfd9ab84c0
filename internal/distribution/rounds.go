package distribution

import (
	"context"
	"time"

	"github.com/sardinereach/sardinereach/internal/membership"
)

// jitterShare is the part of an interval by which it varies, so that nodes do not act in step.
const jitterShare = 0.1

// runRounds runs a round every RoundInterval.
func (d *Distributor) runRounds(ctx context.Context) {
	for {
		for _, partner := range d.beginRound() {
			d.startPull(ctx, partner.Address)
		}
		d.publish()
		if !d.awaitRound(ctx) {
			return
		}
	}
}

// urgentDelay is the time before a round for urgent changes, so that changes that come together share it.
const urgentDelay = 100 * time.Millisecond

// awaitRound waits for the next round or for urgent changes, and returns false if ctx ended.
func (d *Distributor) awaitRound(ctx context.Context) bool {
	timer := time.NewTimer(d.jitter(d.options.RoundInterval, jitterShare))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.urgent:
		return sleep(ctx, urgentDelay)
	case <-ctx.Done():
		return false
	}
}

// beginRound brings the own record and the states of members up to date and returns the partners of the round.
func (d *Distributor) beginRound() []membership.GossipPeer {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Now()
	d.round++
	d.beat(now)
	d.expire(now)
	d.tables.members.RecordPosition(now, d.options.RecentWindow)
	d.checkIsolation(now)
	d.forgetPeers()
	view := d.currentView()
	d.checkWatching(view)
	return view.GossipPeers(d.round, d.options.Seed)
}

// beat replaces the own record if a heartbeat or a change is due.
func (d *Distributor) beat(now time.Duration) {
	interval := d.heartbeatInterval()
	d.tables.members.SetTiming(d.options.Timing.Scaled(interval))
	next := d.self.advance(now, interval, d.loadInterval(), d.tables.config.Complete())
	if next == nil {
		return
	}
	if next.Version != d.tables.members.Self().Version {
		d.publisher.members = true
	}
	d.tables.members.SetSelf(next)
}

func (d *Distributor) heartbeatInterval() time.Duration {
	o := d.options
	return membership.Interval(d.tables.members.Len(), heartbeatBytes, o.HeartbeatBytesPerSecond, o.HeartbeatInterval)
}

// loadInterval assumes that the other nodes have as many targets as this one.
func (d *Distributor) loadInterval() time.Duration {
	o := d.options
	size := recordBytes + recordTargetBytes*len(d.self.targets)
	return membership.Interval(d.tables.members.Len(), size, o.LoadBytesPerSecond, o.LoadInterval)
}

func (d *Distributor) expire(now time.Duration) {
	for _, transition := range d.tables.members.Expire(now) {
		d.options.Report(Event{
			Kind: MemberChanged, Node: transition.Node, From: transition.From, To: transition.To,
		})
	}
}

// checkIsolation reports when neither the store nor a peer has answered for long, and when one answers again.
func (d *Distributor) checkIsolation(now time.Duration) {
	if now-d.peerHeard >= d.options.RecentWindow/2 {
		d.synced = false
	}
	silent := now-max(d.storeHeard, d.peerHeard, 0) >= d.options.IsolatedAfter
	if silent == d.isolated {
		return
	}
	d.isolated = silent
	kind := Reconnected
	if silent {
		kind = Isolated
	}
	d.options.Report(Event{Kind: kind, Revision: d.tables.config.Complete()})
}

func (d *Distributor) checkWatching(view *membership.View) {
	watching := view.IsWatcher()
	if watching == d.watching {
		return
	}
	d.watching = watching
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

// forgetPeers drops the state of peers that were not pulled from for long.
func (d *Distributor) forgetPeers() {
	for address, peer := range d.peers {
		if !peer.inFlight && d.round-peer.usedRound > peerStateRounds {
			delete(d.peers, address)
		}
	}
}

// jitter returns the interval, longer or shorter by up to the share of it.
func (d *Distributor) jitter(interval time.Duration, share float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(float64(interval) * (1 + share*(2*d.random.Float64()-1)))
}

// upTo returns a random duration below limit.
func (d *Distributor) upTo(limit time.Duration) time.Duration {
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
