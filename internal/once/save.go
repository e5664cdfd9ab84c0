package once

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/store"
)

// errChanged means that the store no longer has the expected revision of the claim.
var errChanged = errors.New("once: the claim was changed or deleted")

// save replaces the document at the expected revision and returns the last observed value of the key.
func (c *Claims) save(ctx context.Context, key string, expect int64, d *document) (store.KV, error) {
	value, err := d.encode()
	if err != nil {
		return store.KV{}, err
	}
	w := &write{key: key, expect: expect, value: value}
	outcome, err := c.performWrite(ctx, w)
	switch outcome {
	case stepDone:
		return w.current, nil
	case stepConflict:
		return w.current, errChanged
	}
	return store.KV{}, errors.Wrapf(err, "claim %s", d.Claim)
}

// saveOutcome writes the outcome of a claim that this node holds. It also replaces the uncertain outcome that another
// node wrote in the meantime, because the outcome from the holder is more precise.
func (c *Claims) saveOutcome(ctx context.Context, key string, expect int64, d *document) error {
	current, err := c.save(ctx, key, expect, d)
	if !errors.Is(err, errChanged) || !endedByOther(current, d.Claim) {
		return err
	}
	_, err = c.save(ctx, key, current.Revision, d)
	return err
}

// endedByOther reports whether the key contains the claim with an uncertain outcome that another node wrote.
func endedByOther(kv store.KV, claim ClaimID) bool {
	if kv.Value == nil {
		return false
	}
	d, err := decode(kv.Value)
	return err == nil && d.Claim == claim && d.Phase == phaseUncertain
}

// remove deletes the claim at the expected revision. It returns nil if the key no longer contains the claim.
func (c *Claims) remove(ctx context.Context, key string, expect int64, claim ClaimID) error {
	err := c.store.CompareAndDelete(ctx, key, expect)
	var conflict *store.ConflictError
	switch {
	case err == nil, errors.Is(err, store.ErrNotFound):
		return nil
	case errors.As(err, &conflict):
		return nil
	case errors.Is(err, store.ErrUnavailable):
		return errors.Wrapf(err, "claim %s", claim)
	}
	return c.retryRemove(ctx, key, expect, claim)
}

// retryRemove reads the key back after a delete of unknown outcome, and retries the delete if the claim is still there.
func (c *Claims) retryRemove(ctx context.Context, key string, expect int64, claim ClaimID) error {
	kv, err := c.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) || err == nil && kv.Revision != expect {
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "claim %s", claim)
	}
	err = c.store.CompareAndDelete(ctx, key, expect)
	var conflict *store.ConflictError
	if errors.Is(err, store.ErrNotFound) || errors.As(err, &conflict) {
		return nil
	}
	return errors.Wrapf(err, "claim %s", claim)
}
