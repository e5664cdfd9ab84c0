package node

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/quarantine"
	"github.com/sardinereach/sardinereach/internal/store"
)

// quarantineFingerprint quarantines a fingerprint on behalf of an operator.
func (c *crashTracker) quarantineFingerprint(ctx context.Context, fingerprint quarantine.Fingerprint) error {
	losses := make([]quarantine.Loss, quarantine.LossLimit)
	c.mu.Lock()
	for i := range losses {
		c.serial++
		losses[i] = quarantine.Loss{Target: operatorLossTarget, Serial: c.serial, Evidence: quarantine.Ordered}
	}
	entry := quarantine.Entry{Fingerprint: fingerprint, Identity: quarantine.IdentityVersion, Losses: losses}
	if existing, ok := c.find(fingerprint); ok {
		entry.Epoch = existing.Epoch
	}
	c.table.Merge(c.clock.now(), entry)
	c.mu.Unlock()
	return c.save(ctx, entry)
}

// operatorLossTarget is the target in the synthetic losses of a quarantine that an operator has ordered.
const operatorLossTarget = "operator"

// releaseFingerprint ends a quarantine on behalf of an operator.
func (c *crashTracker) releaseFingerprint(ctx context.Context, fingerprint quarantine.Fingerprint) error {
	c.mu.Lock()
	entry, ok := c.table.Release(c.clock.now(), fingerprint)
	c.mu.Unlock()
	if !ok {
		return store.ErrNotFound
	}
	c.log.Emit(events.FingerprintReleased, events.FingerprintField(fingerprint.String()))
	return c.save(ctx, entry)
}

// find returns the entry of the fingerprint. c.mu is held.
func (c *crashTracker) find(fingerprint quarantine.Fingerprint) (quarantine.Entry, bool) {
	for _, e := range c.table.Entries(c.clock.now()) {
		if e.Fingerprint == fingerprint {
			return e, true
		}
	}
	return quarantine.Entry{}, false
}

// fingerprintDigits is the length of the String form of a fingerprint.
const fingerprintDigits = 16

// parseFingerprint returns the fingerprint with the given String form.
func parseFingerprint(s string) (quarantine.Fingerprint, error) {
	value, err := strconv.ParseUint(s, 16, 64)
	if err != nil || len(s) != fingerprintDigits {
		return 0, errors.Errorf("fingerprint %q: use %d hexadecimal digits", s, fingerprintDigits)
	}
	return quarantine.Fingerprint(value), nil
}
