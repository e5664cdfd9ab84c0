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
	// elsewhereInterval is the time between two questions of a node without confirmations to another domain.
	elsewhereInterval = time.Second
	// standInShare is the time that each standby of a domain adds to the interval between the starts of two reads of one standby
	// during an outage, so that the calls of a domain do not grow with its size. The interval is at least standInMinInterval: in a
	// small domain, a standby whose read hung when the store came back has its next turn before the bound for changes holds again.
	// It is at least standInMinLongInterval in an outage from standInLongOutage on, which may last hours.
	standInShare           = 550 * time.Millisecond
	standInMinInterval     = 2 * time.Second
	standInMinLongInterval = 4 * time.Second
	standInLongOutage      = 10 * time.Minute
)

// runStandIn keeps this node from waiting for a confirmation longer than the bound for changes allows, whatever happens to
// the others. A standby reads the configuration from the store when the newest confirmation that it knows is older than its
// rank among the standbys of its domain allows. The watchers of the domain may be lost long before they count as dead, or the
// store may refuse them. A watcher that gets no answers asks another domain. There is no agreement: additional readers only
// cost calls, which the ranks and the pauses bound.
func (d *Distributor) runStandIn(ctx context.Context) {
	reader := &standInReader{distributor: d}
	for sleep(ctx, d.jitter(standInCheck, jitterFraction)) {
		d.checkConfirmationAge()
		reader.check(ctx, d.standInState())
	}
}

// standInState is what a node bases its stand-in on.
type standInState struct {
	// watcher means that the node has been a watcher long enough to have sent its first watch, ready that it has been ready.
	watcher, ready bool
	// rank is the rank among the standbys of the domain, without those that did not answer the last pull. standbys is the number
	// of all of them.
	rank, standbys int
	// age is that of the newest confirmation, attemptAge that of the newest attempt in the domain to reach the store.
	age, attemptAge time.Duration
}

// standInState returns the current state.
func (d *Distributor) standInState() standInState {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, view := d.options.Now(), d.currentView()
	return standInState{
		watcher:    d.watching && now-d.watchingSince >= 2*d.options.RoundInterval,
		ready:      d.ready.Load(),
		rank:       max(0, view.WatchRank(d.isUnanswered)-membership.WatchersPerDomain),
		standbys:   view.Standbys(),
		age:        now - max(d.confirmation.newest(), 0),
		attemptAge: now - max(d.attempts.newest, 0),
	}
}

// isUnanswered reports whether the last pull from the address failed. The caller holds d.mu.
func (d *Distributor) isUnanswered(address string) bool {
	peer := d.peers[address]
	return peer != nil && peer.failed
}

// isUnavailable reports whether the last pull from the address failed or one is in flight. The caller holds d.mu.
func (d *Distributor) isUnavailable(address string) bool {
	peer := d.peers[address]
	return peer != nil && (peer.failed || peer.inFlight)
}

// standInLimit returns the age of the newest confirmation from which the standby with the rank reads the store. While its reads
// fail, it is the age of the newest attempt.
func standInLimit(rank int) time.Duration {
	first := min(rank, standInSteps)
	return standInAfter + time.Duration(first)*standInStep + time.Duration(rank-first)*standInLaterStep
}

// standInReader decides when a node reads the store or asks other nodes because confirmations are missing.
//
// After a failed read, a standby does not wait for a time that was set then. It reads again when no attempt of its domain is
// newer than its rank allows, so that the return of the store is noticed whichever other nodes are lost, or when it has its
// turn, because those that make the attempts may be turned away. It also asks other domains.
type standInReader struct {
	distributor *Distributor
	// failing means that the last read failed. The reads have failed since failingSince.
	failing      bool
	failingSince time.Duration
	// nextTurn is the time of the next read after a failed one if others make attempts.
	nextTurn time.Duration
	// nextElsewhere is the earliest time of the next question to another domain.
	nextElsewhere time.Duration
}

// check acts on the state of the node.
func (r *standInReader) check(ctx context.Context, state standInState) {
	limit := standInLimit(state.rank)
	switch {
	case !state.ready:
	case state.watcher:
		if state.age >= confirmationLate {
			r.askElsewhere(ctx)
		}
	case state.age < limit-standInAsk:
		r.failing = false
	case state.age < limit:
		r.askNeighbors(ctx, limit-state.age)
	case !r.failing || state.attemptAge >= limit || r.distributor.options.Now() >= r.nextTurn:
		r.read(ctx, state)
	default:
		r.askElsewhere(ctx)
		r.askNeighbors(ctx, limit-state.attemptAge)
	}
}

// askNeighbors asks the nodes of the domain that may have a newer confirmation or attempt. remaining is the time after which
// this node reads the store without one.
func (r *standInReader) askNeighbors(ctx context.Context, remaining time.Duration) {
	switch {
	case remaining > standInAsk:
	case remaining > standInAskStandbys:
		r.distributor.askWatchers(ctx, 0)
	default:
		r.distributor.askWatchers(ctx, askedStandbys)
	}
}

// askElsewhere asks another domain, once in elsewhereInterval.
func (r *standInReader) askElsewhere(ctx context.Context) {
	if now := r.distributor.options.Now(); now >= r.nextElsewhere {
		r.nextElsewhere = now + elsewhereInterval
		r.distributor.askElsewhere(ctx)
	}
}

// read stands in. After a failed read it sends a ping first, which costs less than a read.
func (r *standInReader) read(ctx context.Context, state standInState) {
	startedAt := r.distributor.options.Now()
	var err error
	if r.failing {
		r.askElsewhere(ctx)
		err = r.distributor.pingStore(ctx, r.distributor.options.StoreTimeout)
	}
	if err == nil {
		err = r.distributor.standIn(ctx)
	}
	if err == nil {
		r.failing = false
		return
	}
	r.recordFailure(state, startedAt, err)
}

// recordFailure sets the time of the next turn after a read that began at startedAt and failed with the error. The first turns of
// the standbys are spread out by their ranks, so that one of them always comes soon.
func (r *standInReader) recordFailure(state standInState, startedAt time.Duration, err error) {
	d, now := r.distributor, r.distributor.options.Now()
	interval := time.Duration(1+state.rank) * standInShare
	if r.failing {
		interval = d.jitter(standInInterval(state.standbys, now-r.failingSince), jitterFraction)
	} else {
		r.failing, r.failingSince = true, now
	}
	wait := max(0, startedAt+interval-now)
	r.nextTurn = now + wait
	d.setWaitStep(ConfigPrefix, stepPause)
	d.options.Report(Event{Kind: StandInFailed, Rank: state.rank, Age: d.standInState().age, Duration: wait, Err: err})
}

// standInInterval returns the time between the starts of two reads of a standby, in a domain with the number of standbys, whose
// reads have failed for the given time.
func standInInterval(standbys int, outage time.Duration) time.Duration {
	shortest := standInMinInterval
	if outage >= standInLongOutage {
		shortest = standInMinLongInterval
	}
	return max(shortest, time.Duration(standbys)*standInShare)
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

// askElsewhere pulls the documents of a watcher of another domain, which may reach the store.
func (d *Distributor) askElsewhere(ctx context.Context) {
	d.mu.Lock()
	address := d.currentView().OtherWatcherAddress(d.random.Uint64(), d.isUnavailable)
	d.mu.Unlock()
	if address != "" {
		d.startPullOf(ctx, address, d.pullDocuments)
	}
}
