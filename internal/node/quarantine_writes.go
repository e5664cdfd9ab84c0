package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/quarantine"
	"github.com/sardinereach/sardinereach/internal/store"
)

// quarantineWriteTimeout limits the write of an entry to the store.
const quarantineWriteTimeout = 2 * time.Second

// enqueueWrite queues an entry for the writer. It never blocks; if the queue is full, the entry is dropped.
func (c *crashTracker) enqueueWrite(entry quarantine.Entry) {
	select {
	case c.writes <- entry:
	default:
	}
}

// run writes queued entries to the store, from which they propagate to all nodes, until ctx ends. After a restore of the
// store it writes the lost ones again.
func (c *crashTracker) run(ctx context.Context) {
	var rewrites sync.WaitGroup
	defer rewrites.Wait()
	rewrites.Go(func() { c.runRewrites(ctx) })
	for {
		select {
		case entry := <-c.writes:
			c.write(ctx, entry)
		case <-ctx.Done():
			return
		}
	}
}

func quarantineKey(fingerprint quarantine.Fingerprint) string {
	return distribution.QuarantinePrefix + fingerprint.String()
}

// write saves the entry. Errors need no handling: each node that has recorded the losses has its own entry.
func (c *crashTracker) write(ctx context.Context, entry quarantine.Entry) {
	ctx, cancel := context.WithTimeout(ctx, quarantineWriteTimeout)
	defer cancel()
	_ = c.save(ctx, entry)
}

// save merges the entry with the one in the store and writes the result. After a conflict it reads the entry again and
// retries.
func (c *crashTracker) save(ctx context.Context, entry quarantine.Entry) error {
	_, err := c.saveUnless(ctx, entry, func([]byte, quarantine.Entry) bool { return false })
	return err
}

// saveUnless is save, except that it writes nothing and returns false if isStored reports that the stored value has the
// merged entry already.
func (c *crashTracker) saveUnless(
	ctx context.Context, entry quarantine.Entry, isStored func([]byte, quarantine.Entry) bool,
) (written bool, err error) {
	key := quarantineKey(entry.Fingerprint)
	for {
		current, err := c.store.Get(ctx, key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return false, err
		}
		if err == nil {
			c.merge(current.Value)
		}
		newest := c.currentEntry(entry)
		if isStored(current.Value, newest) {
			return false, nil
		}
		value, err := json.Marshal(newest)
		if err != nil {
			return false, errors.Wrap(err, "quarantine entry")
		}
		_, err = c.store.CompareAndSwap(ctx, key, current.Revision, value, 0)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return err == nil, err
		}
	}
}

// covers reports whether a stored value is an entry with everything that the given one has.
func covers(value []byte, entry quarantine.Entry) bool {
	stored, ok := decodeEntry(value)
	return ok && stored.Fingerprint == entry.Fingerprint && stored.Covers(entry)
}

// decodeEntry decodes an entry of the store or of a peer. It returns false if the entry is not valid or has a fingerprint of
// another kind, as those of earlier builds have.
func decodeEntry(value []byte) (quarantine.Entry, bool) {
	var entry quarantine.Entry
	err := json.Unmarshal(value, &entry)
	return entry, err == nil && entry.Identity == quarantine.IdentityVersion
}

// currentEntry returns the current entry of the fingerprint, or the given one if the table no longer has one.
func (c *crashTracker) currentEntry(fallback quarantine.Entry) quarantine.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.find(fallback.Fingerprint); ok {
		return e
	}
	return fallback
}

func (c *crashTracker) merge(value []byte) {
	entry, ok := decodeEntry(value)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Merge(c.clock.now(), entry)
}
