// Package once runs non-idempotent requests at most once. It claims idempotency keys in the platform store, and issues
// operation tickets for use while the store is unavailable.
//
// Claims need a store that keeps every write that it has acknowledged: a claim that a restore from an older copy loses allows
// a second run. They are not used in a dialect with unique request IDs, where callers never send a request again.
//
// The state machines (write, classify, dispatch, operations, Tickets) do no I/O. Claims drives them over a store.Store.
package once

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Claims creates and ends the claims of one incarnation of a node. It is safe for concurrent use.
type Claims struct {
	store       store.Store
	node        model.NodeID
	incarnation model.Incarnation
	options     Options

	mu         sync.Mutex
	serial     uint64
	operations *operations
	pending    writeQueue
	cursor     cursor
}

// NewClaims returns the claims of an incarnation that has created none yet.
func NewClaims(s store.Store, node model.NodeID, incarnation model.Incarnation, options Options) *Claims {
	options = options.withDefaults()
	return &Claims{
		store:       s,
		node:        node,
		incarnation: incarnation,
		options:     options,
		operations:  newOperations(options),
	}
}

// Operation returns the cached state of a claim that this node created.
func (c *Claims) Operation(claim ClaimID) Operation {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.operations.expire(c.options.Clock())
	return c.operations.get(claim)
}

// Begin is BeginFor for a request without a client account.
func (c *Claims) Begin(ctx context.Context, service model.ServiceName, key string, fingerprint uint64) (Result, *verdict.Error) {
	return c.BeginFor(ctx, "", service, key, fingerprint)
}

// BeginFor claims the key for a request of the account with the given fingerprint. Equal keys of two accounts are different keys.
// It returns a Result, or an error with the reason why the request does not run now. The deadline of the context is the deadline of
// the request.
func (c *Claims) BeginFor(ctx context.Context, account model.AccountName, service model.ServiceName, key string, fingerprint uint64) (Result, *verdict.Error) {
	if !validKey(key) {
		return Result{}, verdict.Refused(verdict.KeyInvalid, errors.New("use 1 to 200 printable bytes"))
	}
	return c.create(ctx, request{service: service, account: account, key: key, fingerprint: fingerprint}, 0)
}

// TakeOver replaces a claim whose holder reported StateNotRun. Otherwise it is like Begin.
func (c *Claims) TakeOver(ctx context.Context, running *Running) (Result, *verdict.Error) {
	return c.create(ctx, running.request, running.revision)
}

// MarkHolderLost ends a claim as may-have-run because its holder has terminated, so that the claim can be
// garbage-collected. The request never runs again.
func (c *Claims) MarkHolderLost(ctx context.Context, running *Running) error {
	d := running.document.uncertain(c.nowMS(), verdict.ClaimHolderLost)
	_, err := c.save(ctx, storeKey(running.Service, running.KeyHash), running.revision, &d)
	return err
}

// maxCreateTries bounds how often a request tries to create a claim while other nodes change the claim of its key.
const maxCreateTries = 4

// request is a request with an idempotency key.
type request struct {
	service model.ServiceName
	// account is the client account of the request, empty for none.
	account     model.AccountName
	key         string
	fingerprint uint64
	tries       int
}

// hash returns the hash that represents the key of the request in the store.
func (r *request) hash() string { return claimHash(r.account, r.key) }

// create writes a new claim over the given revision of the key; 0 means that the key must not exist.
func (c *Claims) create(ctx context.Context, r request, expect int64) (Result, *verdict.Error) {
	if r.tries++; r.tries > maxCreateTries {
		return Result{}, verdict.Refused(verdict.StoreUnavailable, errChanged)
	}
	d := c.newDocument(r)
	value, err := d.encode()
	if err != nil {
		return Result{}, verdict.Refused(verdict.KeyInvalid, err)
	}
	w := &write{key: storeKey(r.service, r.hash()), expect: expect, value: value}
	outcome, err := c.performWrite(ctx, w)
	switch outcome {
	case stepDone:
		return Result{Grant: c.newGrant(ctx, r, d, w.current.Revision)}, nil
	case stepConflict:
		c.discard(d.Claim, w)
		return c.resolveConflict(ctx, r, w.current)
	}
	c.discard(d.Claim, w)
	return Result{}, verdict.Refused(verdict.StoreUnavailable, err)
}

func (c *Claims) newDocument(r request) document {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	d := document{
		Claim:       newClaimID(c.node, c.incarnation, c.serial),
		Key:         r.key,
		Account:     r.account,
		Fingerprint: r.fingerprint,
		Node:        c.node,
		Incarnation: c.incarnation,
		Phase:       phaseRunning,
		CreatedMS:   c.nowMS(),
	}
	c.operations.start(d.Claim)
	return d
}

// discard ends a claim that was not granted. If its write may still take effect, the claim is cached as not run and a
// delete is queued.
func (c *Claims) discard(claim ClaimID, w *write) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !w.outcomeUnknown {
		c.operations.remove(claim)
		return
	}
	c.operations.end(c.options.Clock(), claim, Operation{State: StateNotRun})
	c.pending.add(pendingWrite{key: w.key, claim: claim, remove: true})
}

// performWrite drives a write until its outcome is resolved or it fails.
func (c *Claims) performWrite(ctx context.Context, w *write) (step, error) {
	next := stepSwap
	var err error
	var kv store.KV
	for {
		switch next {
		case stepSwap:
			kv, err = c.store.CompareAndSwap(ctx, w.key, w.expect, w.value, 0)
			next = w.handleSwap(kv, err)
		case stepRead:
			kv, err = c.store.Get(ctx, w.key)
			next = w.handleRead(kv, err)
		default:
			return next, err
		}
	}
}

func (c *Claims) nowMS() int64 { return c.options.Clock().UnixMilli() }

func (c *Claims) deadline(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return c.options.Clock().Add(c.options.GrantTTL)
}
