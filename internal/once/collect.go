package once

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// shards is the number of parts by key hash in which the claims of a service are listed, so that one call returns a
// bounded part of them.
const shards = 256

// settleCalls is the greatest number of calls that one unsettled write takes: read, swap, read back and swap again.
const settleCalls = 1 + 2*maxSwaps

// minCollectCalls is the least number of calls with which Collect gets on: one to list and one to delete.
const minCollectCalls = 2

// Collected counts what a call of Collect did.
type Collected struct {
	// Calls is the number of store calls.
	Calls int
	// Listed is the number of claims that were looked at.
	Listed int
	// Deleted is the number of claims whose retention was over.
	Deleted int
	// Abandoned is the number of claims that were given an outcome because their holder never recorded one.
	Abandoned int
	// Settled is the number of own writes that an earlier failure of the store had left.
	Settled int
}

// cursor is the place at which the next Collect goes on.
type cursor struct {
	service int
	shard   int
}

// Collect first writes what an earlier failure of the store has left, then deletes claims whose retention is over. It
// goes round the services in parts and makes at most the given number of store calls (2 or more), rounded up to the end
// of one claim. It is called every second or so without services, so that outages are settled soon, and with services by
// one node at a time.
func (c *Claims) Collect(ctx context.Context, services []model.ServiceName, calls int) (Collected, error) {
	counted := &countingStore{Store: c.store}
	run := &collection{claims: c, store: counted, budget: max(calls, minCollectCalls)}
	err := run.settleAll(ctx)
	for err == nil && len(services) > 0 && run.left() > 0 {
		if !run.scan(ctx, services, &err) {
			break
		}
	}
	run.done.Calls = counted.calls
	return run.done, err
}

// collection is one run of Collect.
type collection struct {
	claims *Claims
	store  *countingStore
	budget int
	parts  int
	done   Collected
}

func (r *collection) left() int { return r.budget - r.store.calls }

// settleAll writes what an earlier failure has left, until one fails again.
func (r *collection) settleAll(ctx context.Context) error {
	for r.left() >= settleCalls {
		r.claims.mu.Lock()
		p, ok := r.claims.unsettled.take()
		r.claims.mu.Unlock()
		if !ok {
			return nil
		}
		if err := r.settle(ctx, p); err != nil {
			r.claims.postpone(p)
			return err
		}
		r.done.Settled++
	}
	return nil
}

// settle brings the store in line with what the holder knows of one claim.
func (r *collection) settle(ctx context.Context, p pending) error {
	kv, err := r.store.Get(ctx, p.key)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	d, err := decode(kv.Value)
	if err != nil || d.Claim != p.claim || d.Phase == phaseAnswered {
		return nil
	}
	on := r.over()
	if p.remove {
		return on.remove(ctx, p.key, kv.Revision, p.claim)
	}
	return on.saveOutcome(ctx, p.key, kv.Revision, p.outcome)
}

// over returns the claims with the counting store in place of the plain one.
func (r *collection) over() *Claims {
	return &Claims{store: r.store, node: r.claims.node, incarnation: r.claims.incarnation, options: r.claims.options}
}

// scan looks at the next part of the claims. It returns false after a whole round or an error.
func (r *collection) scan(ctx context.Context, services []model.ServiceName, failed *error) bool {
	c := r.claims
	c.mu.Lock()
	at := c.cursor
	c.mu.Unlock()
	service := services[at.service%len(services)]
	prefix := fmt.Sprintf("%s%02x", storeKey(service, ""), at.shard)
	kvs, _, err := r.store.List(ctx, prefix)
	if err != nil {
		*failed = err
		return false
	}
	if !r.sweep(ctx, kvs, failed) {
		return false
	}
	c.mu.Lock()
	c.cursor = at.next(len(services))
	c.mu.Unlock()
	r.parts++
	return r.parts < shards*len(services)
}

func (a cursor) next(services int) cursor {
	a.shard++
	if a.shard == shards {
		a.shard = 0
		a.service = (a.service + 1) % services
	}
	return a
}

// sweep ends or deletes the claims whose time is over. It returns false if the budget did not suffice.
func (r *collection) sweep(ctx context.Context, kvs []store.KV, failed *error) bool {
	for _, kv := range kvs {
		r.done.Listed++
		act := r.due(kv)
		if act == nil {
			continue
		}
		if r.left() <= 0 {
			return false
		}
		if *failed = act(ctx); *failed != nil {
			return false
		}
	}
	return true
}

// due returns what is to be done with a claim now, nil for nothing.
func (r *collection) due(kv store.KV) func(context.Context) error {
	d, err := decode(kv.Value)
	if err != nil {
		return nil
	}
	switch {
	case d.Phase == phaseRunning && r.passed(d.CreatedMS):
		return func(ctx context.Context) error { return r.abandon(ctx, kv, d) }
	case d.Phase != phaseRunning && r.passed(d.EndedMS):
		return func(ctx context.Context) error { return r.delete(ctx, kv) }
	}
	return nil
}

func (r *collection) passed(sinceMS int64) bool {
	age := time.Duration(r.claims.nowMS()-sinceMS) * time.Millisecond
	return age > r.claims.options.Retention+clockSkew
}

// abandon gives an outcome to a claim that has run for the whole retention, far beyond every timeout.
func (r *collection) abandon(ctx context.Context, kv store.KV, d *document) error {
	ended := d.uncertain(r.claims.nowMS(), verdict.ClaimHolderLost)
	_, err := r.over().save(ctx, kv.Key, kv.Revision, &ended)
	if err == nil {
		r.done.Abandoned++
	}
	return ignoreChanged(err)
}

func (r *collection) delete(ctx context.Context, kv store.KV) error {
	err := r.store.CompareAndDelete(ctx, kv.Key, kv.Revision)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		r.done.Deleted++
	case errors.Is(err, store.ErrNotFound), errors.As(err, &conflict):
		return nil
	}
	return err
}

// ignoreChanged drops the error of a claim that someone else has settled meanwhile.
func ignoreChanged(err error) error {
	if errors.Is(err, errChanged) {
		return nil
	}
	return err
}
