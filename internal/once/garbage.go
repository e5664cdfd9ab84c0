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

// claimShards is the number of shards, by key hash, in which the claims of a service are listed. Sharding bounds the
// size of one List response.
const claimShards = 256

// maxFlushCalls is the maximum number of store calls for one pending write: one read, then up to maxSwaps swaps that are
// each followed by reading the key back.
const maxFlushCalls = 1 + 2*maxSwaps

// minGarbageCalls is the minimum number of store calls with which CollectGarbage makes progress: one List and one delete.
const minGarbageCalls = 2

// GarbageStats counts the work of one CollectGarbage call.
type GarbageStats struct {
	// Calls is the number of store calls.
	Calls int
	// Listed is the number of claims examined.
	Listed int
	// Deleted is the number of claims deleted at the end of their retention.
	Deleted int
	// HolderLost is the number of claims marked as may-have-run because their holder never recorded an outcome.
	HolderLost int
	// Flushed is the number of pending writes that were completed.
	Flushed int
}

// cursor is the position at which the next CollectGarbage call continues.
type cursor struct {
	service int
	shard   int
}

// CollectGarbage first completes the writes left pending by store failures, then deletes claims past their retention.
// It scans the services shard by shard, round robin, and makes at most the given number of store calls (at least 2); a
// claim that was begun is finished. Every node calls it about once a second without services, to complete pending
// writes soon after an outage. One node at a time calls it with services.
func (c *Claims) CollectGarbage(ctx context.Context, services []model.ServiceName, calls int) (GarbageStats, error) {
	counted := &countingStore{Store: c.store}
	run := &garbageRun{claims: c, store: counted, maxCalls: max(calls, minGarbageCalls)}
	err := run.flushPending(ctx)
	for err == nil && len(services) > 0 && run.callsRemaining() > 0 {
		if !run.scanShard(ctx, services, &err) {
			break
		}
	}
	run.stats.Calls = counted.calls
	return run.stats, err
}

// garbageRun is the state of one CollectGarbage call.
type garbageRun struct {
	claims        *Claims
	store         *countingStore
	maxCalls      int
	shardsScanned int
	stats         GarbageStats
}

func (r *garbageRun) callsRemaining() int { return r.maxCalls - r.store.calls }

// flushPending completes pending writes until the queue is empty, a write fails or too few calls remain.
func (r *garbageRun) flushPending(ctx context.Context) error {
	for r.callsRemaining() >= maxFlushCalls {
		r.claims.mu.Lock()
		p, ok := r.claims.pending.pop()
		r.claims.mu.Unlock()
		if !ok {
			return nil
		}
		if err := r.flush(ctx, p); err != nil {
			r.claims.enqueue(p)
			return err
		}
		r.stats.Flushed++
	}
	return nil
}

// flush applies one pending write. It does nothing if the claim in the store is missing, unreadable or replaced, or already
// has a response.
func (r *garbageRun) flush(ctx context.Context, p pendingWrite) error {
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
	claims := r.countingClaims()
	if p.remove {
		return claims.remove(ctx, p.key, kv.Revision, p.claim)
	}
	return claims.saveOutcome(ctx, p.key, kv.Revision, p.outcome)
}

// countingClaims returns a copy of the claims that uses the counting store.
func (r *garbageRun) countingClaims() *Claims {
	return &Claims{store: r.store, node: r.claims.node, incarnation: r.claims.incarnation, options: r.claims.options}
}

// scanShard sweeps the next shard and advances the cursor. It returns false after an error, after all shards of all
// services, or when too few calls remain.
func (r *garbageRun) scanShard(ctx context.Context, services []model.ServiceName, failed *error) bool {
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
	r.shardsScanned++
	return r.shardsScanned < claimShards*len(services)
}

func (a cursor) next(services int) cursor {
	a.shard++
	if a.shard == claimShards {
		a.shard = 0
		a.service = (a.service + 1) % services
	}
	return a
}

// sweep ends or deletes the expired claims. It returns false after an error or when no calls remain.
func (r *garbageRun) sweep(ctx context.Context, kvs []store.KV, failed *error) bool {
	for _, kv := range kvs {
		r.stats.Listed++
		action := r.expiryAction(kv)
		if action == nil {
			continue
		}
		if r.callsRemaining() <= 0 {
			return false
		}
		if *failed = action(ctx); *failed != nil {
			return false
		}
	}
	return true
}

// expiryAction returns the function that ends or deletes an expired claim, or nil if the claim stays as it is.
func (r *garbageRun) expiryAction(kv store.KV) func(context.Context) error {
	d, err := decode(kv.Value)
	if err != nil {
		return nil
	}
	switch {
	case d.Phase == phaseRunning && r.isExpired(d.CreatedMS):
		return func(ctx context.Context) error { return r.markHolderLost(ctx, kv, d) }
	case d.Phase != phaseRunning && r.isExpired(d.EndedMS):
		return func(ctx context.Context) error { return r.deleteExpired(ctx, kv) }
	}
	return nil
}

func (r *garbageRun) isExpired(sinceMS int64) bool {
	age := time.Duration(r.claims.nowMS()-sinceMS) * time.Millisecond
	return age > r.claims.options.Retention+clockSkew
}

// markHolderLost ends a claim that has been running for the whole retention, far beyond any timeout.
func (r *garbageRun) markHolderLost(ctx context.Context, kv store.KV, d *document) error {
	ended := d.uncertain(r.claims.nowMS(), verdict.ClaimHolderLost)
	_, err := r.countingClaims().save(ctx, kv.Key, kv.Revision, &ended)
	if err == nil {
		r.stats.HolderLost++
	}
	return ignoreChanged(err)
}

func (r *garbageRun) deleteExpired(ctx context.Context, kv store.KV) error {
	err := r.store.CompareAndDelete(ctx, kv.Key, kv.Revision)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		r.stats.Deleted++
	case errors.Is(err, store.ErrNotFound), errors.As(err, &conflict):
		return nil
	}
	return err
}

// ignoreChanged returns nil for a claim that another node has changed in the meantime.
func ignoreChanged(err error) error {
	if errors.Is(err, errChanged) {
		return nil
	}
	return err
}
