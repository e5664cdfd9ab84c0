package distribution

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/config"
	"github.com/sardinereach/sardinereach/internal/store"
)

// watchPauseJitter is the fraction by which Options.WatchPause is randomized.
const watchPauseJitter = 0.5

// runWatch watches the prefix in the store while this node is a watcher of its domain.
func (d *Distributor) runWatch(ctx context.Context, prefix string) {
	pause := d.newBackoff(d.watchBackoffMax(prefix))
	for {
		period := d.storePeriod()
		wait := d.options.RoundInterval
		if d.isWatching() && !d.isLeftToConfig(prefix) && !d.isLeftToStart(prefix) {
			wait = d.jitter(d.options.WatchPause, watchPauseJitter)
			if err := d.syncPrefix(ctx, prefix); err != nil {
				pause.maximum = d.watchBackoffMax(prefix)
				wait = pause.next()
				d.setWaitStep(prefix, stepPause)
			} else {
				pause.reset()
			}
		}
		if !d.sleepInPeriod(ctx, period, wait) {
			return
		}
		if period.Err() != nil {
			pause.limit(recoveryBackoff)
		}
	}
}

func (d *Distributor) isWatching() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watching
}

// isLeftToStart reports whether the start of this node reads the prefix: before it has any configuration, it asks other nodes
// first, and then the store.
func (d *Distributor) isLeftToStart(prefix string) bool {
	return prefix == ConfigPrefix && !d.ready.Load() && d.complete(prefix) == 0
}

// syncPrefix updates the table of the prefix with one call: a watch, or a list if there is no revision to continue
// from. A watch whose start revision was compacted is followed by a list, and a list without a revision by a watch.
func (d *Distributor) syncPrefix(ctx context.Context, prefix string) error {
	if d.complete(prefix) == 0 {
		if err := d.list(ctx, prefix); err != nil || d.complete(prefix) > 0 {
			return err
		}
	}
	complete := d.complete(prefix)
	err := d.watch(ctx, prefix, d.watchWait(prefix))
	if errors.Is(err, store.ErrCompacted) {
		d.options.Report(Event{Kind: StoreCompacted, Key: prefix, Revision: complete})
		return d.list(ctx, prefix)
	}
	return err
}

// watchWait returns how long the next watch of the prefix waits for changes.
func (d *Distributor) watchWait(prefix string) time.Duration {
	switch {
	case d.isConfirmationDue(prefix):
		return 0
	case prefix == ConfigPrefix:
		return d.jitter(d.options.ConfirmWait, jitterFraction)
	}
	return d.jitter(d.options.WatchWait, jitterFraction)
}

// watchTimeout returns the time limit of a watch with the given wait. While probes fail, the store may be slow, so there is time
// for a late answer. The watch ends when a probe is answered again.
func (d *Distributor) watchTimeout(wait time.Duration) time.Duration {
	if d.isProbeFailing() {
		wait = max(wait, d.options.WatchWait)
	}
	return wait + d.options.StoreTimeout
}

// complete returns the revision up to which the documents of the prefix are complete.
func (d *Distributor) complete(prefix string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tables.table(prefix).Complete()
}

// list reads all documents of the prefix.
func (d *Distributor) list(ctx context.Context, prefix string) error {
	callCtx, cancel := store.WithProgressTimeout(ctx, d.options.StoreTimeout, d.options.StoreTimeout)
	defer cancel()
	d.recordOwnAttempt(prefix)
	startedAt := d.options.Now()
	kvs, revision, err := d.options.Store.List(callCtx, prefix)
	if d.recordStoreResult(ctx, prefix, err) != nil {
		d.confirmationFailed(prefix)
		return err
	}
	d.setWaitStep(prefix, stepNone)
	from := d.received("", startedAt)
	documents := make([]config.Document, 0, len(kvs))
	for _, kv := range kvs {
		documents = append(documents, config.Document{Key: kv.Key, Value: kv.Value, Revision: kv.Revision})
	}
	d.mu.Lock()
	if complete := d.tables.table(prefix).Complete(); revision < complete {
		d.options.Report(Event{Kind: ListOutdated, Key: prefix, Revision: revision, Complete: complete})
	}
	previousRevision := d.tables.config.Revision()
	d.applyList(prefix, documents, revision, from)
	d.confirmOwn(prefix, startedAt)
	d.recordPermitAges(documents, startedAt)
	d.signalNewDocuments(previousRevision, "")
	d.mu.Unlock()
	d.publish()
	return nil
}

// watch waits for changes of the prefix and applies them. It returns errStoreRecovered without a report if the store began
// to answer again meanwhile.
func (d *Distributor) watch(ctx context.Context, prefix string, wait time.Duration) error {
	after := d.complete(prefix)
	d.setWaitStep(prefix, stepRead)
	// The period comes first: a probe that is answered after it ends this watch, whatever its time limit. An answer that is
	// arriving is not requested again.
	period := d.storePeriod()
	callCtx, cancel := store.WithProgressTimeout(ctx, d.watchTimeout(wait), d.options.StoreTimeout)
	defer cancel()
	defer context.AfterFunc(period, func() { store.CancelSilent(callCtx) })()
	d.recordOwnAttempt(prefix)
	startedAt := d.options.Now()
	changes, revision, err := d.options.Store.Watch(callCtx, prefix, after, wait)
	if errors.Is(err, store.ErrCompacted) {
		return err
	}
	if err != nil && period.Err() != nil {
		return errStoreRecovered
	}
	if d.recordStoreResult(ctx, prefix, err) != nil {
		d.confirmationFailed(prefix)
		return err
	}
	d.setWaitStep(prefix, stepNone)
	from := d.received("", startedAt)
	confirmedAt := startedAt
	if len(changes) == 0 && from.answeredAt-startedAt >= wait {
		// The store answers a watch without changes only after the wait.
		confirmedAt += wait
	}
	documents := make([]config.Document, 0, len(changes))
	for _, change := range changes {
		documents = append(documents, config.Document{
			Key: change.Key, Value: change.Value, Revision: change.Revision, Deleted: change.Deleted,
		})
	}
	d.mu.Lock()
	previousRevision := d.tables.config.Revision()
	d.applyDocuments(documents, from)
	d.recordPermitAges(documents, startedAt)
	d.advance(prefix, revision)
	d.confirmOwn(prefix, confirmedAt)
	d.signalNewDocuments(previousRevision, "")
	d.mu.Unlock()
	d.publish()
	return nil
}

// recordStoreResult records the time of a successful store response. It reports and returns a failure; failures after
// the end of ctx are returned but not reported.
func (d *Distributor) recordStoreResult(ctx context.Context, key string, err error) error {
	if err == nil {
		d.mu.Lock()
		d.lastStoreResponse = d.options.Now()
		d.mu.Unlock()
		return nil
	}
	if ctx.Err() == nil {
		d.options.Report(Event{Kind: StoreFailed, Key: key, Err: err})
	}
	return err
}
