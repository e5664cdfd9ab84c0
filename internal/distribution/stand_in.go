package distribution

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/membership"
)

const (
	// standInAfter is the age of the newest confirmation from which the first standby of a domain reads the store itself. A
	// change has to be active 2.5 s after its acknowledgement, also if the watchers are lost right before it.
	standInAfter = 1500 * time.Millisecond
	// standInStep is the time that each of the next standInSteps standbys waits longer, so that one of them usually keeps the
	// others quiet. Those after them wait only standInLaterStep longer: all nodes before them may be lost, and that is known
	// only later than the change has to be active.
	standInStep      = 150 * time.Millisecond
	standInSteps     = 3
	standInLaterStep = 10 * time.Millisecond
	// standInAsk is the time before that at which a standby asks the watchers for a newer confirmation. Gossip alone takes
	// several seconds in large domains.
	standInAsk = 700 * time.Millisecond
	// standInAskStandbys is the time before that at which it asks the first standbys, too, which may read the store already.
	standInAskStandbys = 300 * time.Millisecond
	// askedStandbys is the number of these standbys.
	askedStandbys = 2
	// standInCheck is the time between two checks of the age.
	standInCheck = 200 * time.Millisecond
	// standInWait is the wait of a stand-in's watches. Each answer confirms the configuration to the other nodes.
	standInWait = time.Second
	// elsewhereAfter is the time after which a stand-in whose read is not answered asks another domain, in addition to the wait
	// of the read.
	elsewhereAfter = 150 * time.Millisecond
	// elsewhereInterval is the time between two questions of a watcher without confirmations to another domain.
	elsewhereInterval = time.Second
)

// runStandIn keeps this node from waiting for a confirmation longer than the bound for changes allows, whatever happens to
// the others. A standby reads the configuration from the store when the newest confirmation that it knows is older than its
// rank among the standbys of its domain allows. The watchers of the domain may be lost long before they count as dead, or the
// store may refuse them. A watcher that gets no answers asks another domain. There is no agreement: additional readers only
// cost calls, which the ranks and the pauses bound.
func (d *Distributor) runStandIn(ctx context.Context) {
	reader := &standInReader{distributor: d, pause: d.newBackoff(d.options.ConfirmBackoffMax)}
	for sleep(ctx, d.jitter(standInCheck, jitterFraction)) {
		d.checkConfirmationAge()
		reader.check(ctx, d.standInState())
	}
}

// standInState is what a node bases its stand-in on.
type standInState struct {
	// watcher means that the node has been a watcher long enough to have sent its first watch, ready that it has been ready.
	watcher, ready bool
	// rank is the rank among the standbys of the domain, without those that did not answer the last pull.
	rank int
	// age is that of the newest confirmation.
	age time.Duration
}

// standInState returns the current state.
func (d *Distributor) standInState() standInState {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Now()
	return standInState{
		watcher: d.watching && now-d.watchingSince >= 2*d.options.RoundInterval,
		ready:   d.ready.Load(),
		rank:    max(0, d.currentView().WatchRank(d.isUnanswered)-membership.WatchersPerDomain),
		age:     now - max(d.confirmation.newest(), 0),
	}
}

// isUnanswered reports whether the last pull from the address failed. The caller holds d.mu.
func (d *Distributor) isUnanswered(address string) bool {
	peer := d.peers[address]
	return peer != nil && peer.failed
}

// standInLimit returns the age of the newest confirmation from which the standby with the rank reads the store.
func standInLimit(rank int) time.Duration {
	first := min(rank, standInSteps)
	return standInAfter + time.Duration(first)*standInStep + time.Duration(rank-first)*standInLaterStep
}

// standInReader decides when a node reads the store or asks other nodes because confirmations are missing.
type standInReader struct {
	distributor *Distributor
	// pause is that after a failed read. The reads have failed since failingSince if failing.
	pause        *backoff
	failing      bool
	failingSince time.Duration
	// nextRead and nextElsewhere are the earliest times of the next read and of the next question to another domain.
	nextRead, nextElsewhere time.Duration
}

// check acts on the state of the node.
func (r *standInReader) check(ctx context.Context, state standInState) {
	d, now := r.distributor, r.distributor.options.Now()
	limit := standInLimit(state.rank)
	switch {
	case !state.ready:
	case state.watcher:
		if state.age >= confirmationLate && now >= r.nextElsewhere {
			r.nextElsewhere = now + elsewhereInterval
			d.askElsewhere(ctx)
		}
	case state.age < limit-standInAsk:
		r.reset()
	case state.age < limit-standInAskStandbys:
		d.askWatchers(ctx, 0)
	case state.age < limit:
		d.askWatchers(ctx, askedStandbys)
	case now >= r.nextRead:
		r.read(ctx, state)
	}
}

// reset forgets earlier failures.
func (r *standInReader) reset() {
	r.failing = false
	r.nextRead = 0
	r.pause.reset()
}

// read stands in. After a failure it sets the time of the next read. The pause grows with the rank, so that the calls of a
// whole domain to a store that is down stay few.
func (r *standInReader) read(ctx context.Context, state standInState) {
	d, rank := r.distributor, state.rank
	err := d.standIn(ctx)
	if err == nil {
		r.reset()
		return
	}
	now := d.options.Now()
	if !r.failing {
		r.failing, r.failingSince = true, now
	}
	r.pause.maximum = d.options.ConfirmBackoffMax
	if now-r.failingSince >= longOutage {
		r.pause.maximum = d.options.BackoffMax
	}
	d.setWaitStep(ConfigPrefix, stepPause)
	pause := r.pause.next() * time.Duration(1+rank+rank*rank)
	r.nextRead = now + pause
	d.options.Report(Event{Kind: StandInFailed, Rank: rank, Age: d.standInState().age, Duration: pause, Err: err})
}

// standIn reads the configuration until another node has confirmed it during the last read, or this node has become a
// watcher. It returns the error of a read that failed.
func (d *Distributor) standIn(ctx context.Context) error {
	started := false
	defer func() {
		if started {
			d.options.Report(Event{Kind: StandInStopped})
		}
	}()
	for wait := time.Duration(0); ; wait = standInWait {
		previous := d.ownConfirmation()
		if wait > 0 {
			d.askWatchers(ctx, 0)
		}
		if err := d.readOrAskElsewhere(ctx, wait); err != nil {
			return err
		}
		if !started {
			started = true
			d.options.Report(Event{Kind: StandInStarted, Revision: d.complete(ConfigPrefix)})
		}
		if d.isConfirmedByPeers(previous) || d.isWatching() {
			return nil
		}
		if !sleep(ctx, d.options.WatchPause) {
			return nil
		}
	}
}

// readOrAskElsewhere reads the configuration. If there is no answer elsewhereAfter its wait, it asks another domain meanwhile.
func (d *Distributor) readOrAskElsewhere(ctx context.Context, wait time.Duration) error {
	read, cancel := context.WithTimeout(ctx, wait+elsewhereAfter)
	var question sync.WaitGroup
	question.Go(func() {
		<-read.Done()
		if errors.Is(read.Err(), context.DeadlineExceeded) {
			d.askElsewhere(ctx)
		}
	})
	err := d.readConfig(ctx, wait)
	cancel()
	question.Wait()
	return err
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

// askWatchers pulls from the watchers of the domain and from the given number of first standbys.
func (d *Distributor) askWatchers(ctx context.Context, standbys int) {
	d.mu.Lock()
	addresses := d.currentView().WatcherAddresses(standbys)
	d.mu.Unlock()
	for _, address := range addresses {
		d.startPull(ctx, address)
	}
}

// askElsewhere pulls from a watcher of another domain, which may reach the store.
func (d *Distributor) askElsewhere(ctx context.Context) {
	d.mu.Lock()
	address := d.currentView().OtherWatcherAddress(d.random.Uint64())
	d.mu.Unlock()
	if address != "" {
		d.startPull(ctx, address)
	}
}
