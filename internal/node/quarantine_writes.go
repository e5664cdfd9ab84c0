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

// quarantineWriteTimeout bounds the write of an entry to the store.
const quarantineWriteTimeout = 2 * time.Second

// publish hands an entry to the writer. It never blocks.
func (c *crashes) publish(entry quarantine.Entry) {
	select {
	case c.writes <- entry:
	default:
	}
}

// run writes entries to the store, from which all nodes learn them, until ctx ends.
func (c *crashes) run(ctx context.Context) {
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

// write saves the entry. A failure needs no handling: each node that has met the losses has its own entry.
func (c *crashes) write(ctx context.Context, entry quarantine.Entry) {
	ctx, cancel := context.WithTimeout(ctx, quarantineWriteTimeout)
	defer cancel()
	_ = c.save(ctx, entry)
}

// save merges the entry with the one in the store and writes the result. A conflict is settled by reading again.
func (c *crashes) save(ctx context.Context, entry quarantine.Entry) error {
	key := quarantineKey(entry.Fingerprint)
	for {
		current, err := c.store.Get(ctx, key)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		if err == nil {
			c.merge(current.Value)
		}
		value, err := json.Marshal(c.entry(entry))
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

// entry returns the present entry of the fingerprint, or the given one if there is none any more.
func (c *crashes) entry(fallback quarantine.Entry) quarantine.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.find(fallback.Fingerprint); ok {
		return e
	}
	return fallback
}

func (c *crashes) merge(value []byte) {
	var entry quarantine.Entry
	if json.Unmarshal(value, &entry) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Merge(c.clock.now(), entry)
}
