package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/quarantine"
)

const (
	// watcherRewriteSpread is the time over which the watchers spread out their checks after a restore of the store. The
	// first of them writes what all have, and the others receive it from the store or find it there.
	watcherRewriteSpread = 2 * time.Second
	// holderRewriteDelay is the time after which the other nodes check for entries that no watcher has. It is longer than
	// a document takes to propagate from a watcher to all nodes, so in general they find nothing to write.
	holderRewriteDelay = 10 * time.Second
	// holderRewriteSpread is the time over which they spread out their checks.
	holderRewriteSpread = 10 * time.Second
	// rewriteRetryMin and rewriteRetryMax bound the pause after a failed write. The pause doubles with each failure.
	rewriteRetryMin = time.Second
	rewriteRetryMax = 30 * time.Second
)

// recordDocuments keeps the stored entries of the snapshot. If the store was restored since the last one, it triggers the
// check for lost entries.
func (c *crashTracker) recordDocuments(snapshot *distribution.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.documents = snapshot.Quarantine
	if snapshot.StoreEra == c.storeEra {
		return
	}
	c.storeEra = snapshot.StoreEra
	signal(c.restored)
}

// runRewrites writes lost entries again after each restore of the store, until ctx ends.
func (c *crashTracker) runRewrites(ctx context.Context) {
	for {
		select {
		case <-c.restored:
			c.rewriteLostEntries(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// rewriteLostEntries writes the entries of this node that the restored store lacks, until all are written or ctx ends.
func (c *crashTracker) rewriteLostEntries(ctx context.Context) {
	pause := holderRewriteDelay + rand.N(holderRewriteSpread)
	if c.isWatching() {
		pause = rand.N(watcherRewriteSpread)
	}
	for retry := rewriteRetryMin; sleep(ctx, pause) == nil; retry = min(2*retry, rewriteRetryMax) {
		if c.rewriteOnce(ctx) {
			return
		}
		pause = retry/2 + rand.N(retry/2)
	}
}

// rewriteOnce writes the lost entries. It returns false after the first write that fails.
func (c *crashTracker) rewriteOnce(ctx context.Context) bool {
	for _, entry := range c.lostEntries() {
		callCtx, cancel := context.WithTimeout(ctx, quarantineWriteTimeout)
		written, err := c.saveUnless(callCtx, entry, covers)
		cancel()
		if err != nil {
			return false
		}
		if written {
			c.log.Emit(events.QuarantineRewritten, events.FingerprintField(entry.Fingerprint.String()), events.CountField(len(entry.Losses)))
		}
	}
	return true
}

// lostEntries returns the entries of this node that the stored ones of the last snapshot do not cover. Entries that were
// cleared are included: the restored store may still have their losses.
func (c *crashTracker) lostEntries() []quarantine.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lost []quarantine.Entry
	for _, entry := range c.table.Entries(c.clock.now()) {
		if !covers(c.documents[entry.Fingerprint.String()].Value, entry) {
			lost = append(lost, entry)
		}
	}
	return lost
}
