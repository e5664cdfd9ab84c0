package once

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/store"
)

// errChanged means that the claim in the store is not the expected one any more.
var errChanged = errors.New("once: the claim was changed or deleted")

// save replaces the document at a revision and returns the key as it was last seen.
func (c *Claims) save(ctx context.Context, key string, expect int64, d *document) (store.KV, error) {
	value, err := d.encode()
	if err != nil {
		return store.KV{}, err
	}
	w := &write{key: key, expect: expect, value: value}
	outcome, err := c.run(ctx, w)
	switch outcome {
	case stepDone:
		return w.current, nil
	case stepConflict:
		return w.current, errChanged
	}
	return store.KV{}, errors.Wrapf(err, "claim %s", d.Claim)
}

// saveOutcome writes the outcome of an own claim. A claim that another node has abandoned meanwhile gets the outcome
// too, because its holder knows better.
func (c *Claims) saveOutcome(ctx context.Context, key string, expect int64, d *document) error {
	current, err := c.save(ctx, key, expect, d)
	if !errors.Is(err, errChanged) || !abandoned(current, d.Claim) {
		return err
	}
	_, err = c.save(ctx, key, current.Revision, d)
	return err
}

// abandoned reports whether the key holds the claim with an outcome that its holder did not write.
func abandoned(kv store.KV, claim ClaimID) bool {
	if kv.Value == nil {
		return false
	}
	d, err := decode(kv.Value)
	return err == nil && d.Claim == claim && d.Phase == phaseUncertain
}

// remove deletes the claim if the key holds it at the revision. It returns nil once the key does not hold it any more.
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
	return c.removeAgain(ctx, key, expect, claim)
}

// removeAgain reads the key back after a delete of unknown outcome, and deletes it once more if it is still there.
func (c *Claims) removeAgain(ctx context.Context, key string, expect int64, claim ClaimID) error {
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
