package node

import (
	"context"
	"encoding/json"
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

// run writes queued entries to the store, from which they propagate to all nodes, until ctx ends.
func (c *crashTracker) run(ctx context.Context) {
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

// save merges the entry with the one in the store and writes the result. After a conflict it
// reads the entry again and retries.
func (c *crashTracker) save(ctx context.Context, entry quarantine.Entry) error {
	key := quarantineKey(entry.Fingerprint)
	for {
		current, err := c.store.Get(ctx, key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		if err == nil {
			c.merge(current.Value)
		}
		value, err := json.Marshal(c.currentEntry(entry))
		if err != nil {
			return errors.Wrap(err, "quarantine entry")
		}
		_, err = c.store.CompareAndSwap(ctx, key, current.Revision, value, 0)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
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
	var entry quarantine.Entry
	if json.Unmarshal(value, &entry) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Merge(c.clock.now(), entry)
}
