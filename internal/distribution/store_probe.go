package distribution

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// probeJitterFraction spreads out the probes of the watchers.
	probeJitterFraction = 0.15
	// minProbePause is the pause after a probe that took as long as ProbeInterval or longer.
	minProbePause = 100 * time.Millisecond
	// longOutage is the time of failed probes from which a watcher probes every longOutageProbeInterval and pauses for up to
	// BackoffMax between its watches: a refused call costs as much as another one, and outages can last hours. A watcher
	// that learns of the end of an outage after two seconds still has a change 2.5 s after its acknowledgement, as the bound
	// for changes begins only some time after the outage.
	longOutage              = time.Minute
	longOutageProbeInterval = 1800 * time.Millisecond
	// recoveryJitter bounds the random delay after which a watcher calls a store that answers again.
	recoveryJitter = 100 * time.Millisecond
	// recoveryBackoff bounds the pause of a watcher if its first watch after an outage fails.
	recoveryBackoff = time.Second
)

// errStoreRecovered is the error of a watch that was sent before the store began to answer again.
var errStoreRecovered = errors.New("distribution: the store may have lost this watch during an outage")

// storeProbe holds what the probes of a watcher have shown. Distributor.mu guards it.
//
// A watch without an answer does not show whether the store is silent or has no change, and a store that was silent may
// have forgotten it. So a watcher sends short reads next to its watches. When one is answered after one that was not, all
// pending watches are cancelled and all pauses after failed calls end. Watches stay pending while probes fail, because a
// store that is slower than ProbeTimeout still answers them. An answered probe confirms nothing: it shows neither that the
// store has a pending watch nor that the configuration is unchanged.
type storeProbe struct {
	// failing means that the last probe was not answered. The first one that was not answered ended at failingSince.
	failing      bool
	failingSince time.Duration
	// period ends when the store answers again.
	period    context.Context
	endPeriod context.CancelFunc
}

func newStoreProbe() storeProbe {
	period, end := context.WithCancel(context.Background())
	return storeProbe{period: period, endPeriod: end}
}

// runProbes probes the store while this node is a watcher.
func (d *Distributor) runProbes(ctx context.Context) {
	for pause := d.probePause(0); sleep(ctx, pause); {
		startedAt := d.options.Now()
		if d.isWatching() {
			d.probeStore(ctx)
		} else {
			d.forgetProbes()
		}
		pause = d.probePause(d.options.Now() - startedAt)
	}
}

// probePause returns the pause after a probe that took the given time.
func (d *Distributor) probePause(took time.Duration) time.Duration {
	interval := d.options.ProbeInterval
	if d.isLongOutage() {
		interval = max(interval, longOutageProbeInterval)
	}
	return max(minProbePause, d.jitter(interval, probeJitterFraction)-took)
}

// isProbeFailing reports whether the last probe of this node was not answered.
func (d *Distributor) isProbeFailing() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.probe.failing
}

// isLongOutage reports whether the probes of this node have failed for longOutage.
func (d *Distributor) isLongOutage() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.probe.failing && d.options.Now()-d.probe.failingSince >= longOutage
}

// isLeftToConfig reports whether the prefix is not read because the store has answered neither a probe nor a read of the
// configuration for longOutage. The first answer to one of these ends that state.
func (d *Distributor) isLeftToConfig(prefix string) bool {
	d.mu.Lock()
	unconfirmed := d.options.Now()-max(d.confirmation.own, 0) >= longOutage
	d.mu.Unlock()
	return prefix != ConfigPrefix && unconfirmed && d.isLongOutage()
}

// watchBackoffMax bounds the pause of a watcher after a failed watch of the prefix.
func (d *Distributor) watchBackoffMax(prefix string) time.Duration {
	switch {
	case d.isLongOutage():
		return d.options.BackoffMax
	case prefix == ConfigPrefix:
		return d.options.ConfirmBackoffMax
	}
	return d.options.WatchBackoffMax
}

// probeStore sends one probe. It reports only the first one that fails.
func (d *Distributor) probeStore(ctx context.Context) {
	err := d.pingStore(ctx, d.options.ProbeTimeout)
	if ctx.Err() != nil {
		return
	}
	key := MemberKey(d.options.Self)
	d.mu.Lock()
	defer d.mu.Unlock()
	failed := err != nil
	if failed && !d.probe.failing {
		d.probe.failingSince = d.options.Now()
		d.options.Report(Event{Kind: StoreFailed, Key: key, Err: err})
	}
	if !failed {
		d.lastStoreResponse = d.options.Now()
	}
	if !failed && d.probe.failing {
		d.probe.endPeriod()
		d.probe = newStoreProbe()
		d.confirmation.synced = false
	}
	d.probe.failing = failed
}

// pingStore sends a short read, whose answer confirms nothing.
func (d *Distributor) pingStore(ctx context.Context, timeout time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d.recordOwnAttempt(ConfigPrefix)
	return d.options.Store.Ping(callCtx, MemberKey(d.options.Self))
}

// forgetProbes removes the result of the last probe when the node is not a watcher any more. Watches that were sent while probes
// failed have a long time limit, and no later probe would end them.
func (d *Distributor) forgetProbes() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.probe.failing {
		d.probe.endPeriod()
		d.probe = newStoreProbe()
	}
}

// storePeriod returns a context that ends when the store answers again after an outage.
func (d *Distributor) storePeriod() context.Context {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.probe.period
}

// sleepInPeriod sleeps until the pause or the period of the store ends. It returns false if ctx ended first.
func (d *Distributor) sleepInPeriod(ctx, period context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-period.Done():
		return sleep(ctx, d.randomBelow(recoveryJitter))
	case <-ctx.Done():
		return false
	}
}
