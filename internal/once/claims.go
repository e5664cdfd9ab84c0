// Package once keeps the promise that a non-idempotent request runs at most once: claims by idempotency key in the
// platform store, and operation tickets for the time in which the store does not answer.
//
// The state machines (write, judge, dispatch, operations, Tickets) are pure. Claims drives them over a store.Store.
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

// Claims makes and ends the claims of one incarnation of a node. It is safe for concurrent use.
type Claims struct {
	store       store.Store
	node        model.NodeID
	incarnation model.Incarnation
	options     Options

	mu         sync.Mutex
	serial     uint64
	operations *operations
	unsettled  unsettled
	cursor     cursor
}

// NewClaims returns the claims of an incarnation that has made none yet.
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

// Operation returns what this node knows of a claim that it made.
func (c *Claims) Operation(claim ClaimID) Operation {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.operations.expire(c.options.Clock())
	return c.operations.get(claim)
}

// Begin claims the key for a request with the given fingerprint. It returns a Result, or an error that says why the
// request does not run now. The context's deadline is that of the request.
func (c *Claims) Begin(ctx context.Context, service model.ServiceName, key string, fingerprint uint64) (Result, *verdict.Error) {
	if !validKey(key) {
		return Result{}, verdict.Refused(verdict.KeyInvalid, errors.New("use 1 to 200 printable bytes"))
	}
	return c.claim(ctx, request{service: service, key: key, fingerprint: fingerprint}, 0)
}

// TakeOver replaces a claim whose holder answered StateNotRun, and then is like Begin.
func (c *Claims) TakeOver(ctx context.Context, running *Running) (Result, *verdict.Error) {
	return c.claim(ctx, running.request, running.revision)
}

// Abandon records that the holder of a claim is lost, so that the outcome is settled and the claim can be collected.
// The request then never runs again.
func (c *Claims) Abandon(ctx context.Context, running *Running) error {
	d := running.document.uncertain(c.nowMS(), verdict.ClaimHolderLost)
	_, err := c.save(ctx, storeKey(running.Service, running.KeyHash), running.revision, &d)
	return err
}

// maxRounds bounds how often a request tries again after the claim of its key was changed by others.
const maxRounds = 4

// request is a keyed request.
type request struct {
	service     model.ServiceName
	key         string
	fingerprint uint64
	rounds      int
}

// claim writes a new claim in place of the given revision, 0 for none.
func (c *Claims) claim(ctx context.Context, r request, expect int64) (Result, *verdict.Error) {
	if r.rounds++; r.rounds > maxRounds {
		return Result{}, verdict.Refused(verdict.StoreUnavailable, errChanged)
	}
	d := c.newDocument(r)
	value, err := d.encode()
	if err != nil {
		return Result{}, verdict.Refused(verdict.KeyInvalid, err)
	}
	w := &write{key: storeKey(r.service, KeyHash(r.key)), expect: expect, value: value}
	outcome, err := c.run(ctx, w)
	switch outcome {
	case stepDone:
		return Result{Grant: c.newGrant(ctx, r, d, w.current.Revision)}, nil
	case stepConflict:
		c.forget(d.Claim, w)
		return c.resolve(ctx, r, w.current)
	}
	c.forget(d.Claim, w)
	return Result{}, verdict.Refused(verdict.StoreUnavailable, err)
}

func (c *Claims) newDocument(r request) document {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	d := document{
		Claim:       newClaimID(c.node, c.incarnation, c.serial),
		Key:         r.key,
		Fingerprint: r.fingerprint,
		Node:        c.node,
		Incarnation: c.incarnation,
		Phase:       phaseRunning,
		CreatedMS:   c.nowMS(),
	}
	c.operations.start(d.Claim)
	return d
}

// forget ends a claim that was not granted. If its write may still take effect, the claim is remembered as not run and
// deleted later.
func (c *Claims) forget(claim ClaimID, w *write) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !w.doubtful {
		c.operations.drop(claim)
		return
	}
	c.operations.end(c.options.Clock(), claim, Operation{State: StateNotRun})
	c.unsettled.add(pending{key: w.key, claim: claim, remove: true})
}

// run drives a write until it is settled or given up.
func (c *Claims) run(ctx context.Context, w *write) (step, error) {
	next := stepSwap
	var err error
	var kv store.KV
	for {
		switch next {
		case stepSwap:
			kv, err = c.store.CompareAndSwap(ctx, w.key, w.expect, w.value, 0)
			next = w.swapped(kv, err)
		case stepRead:
			kv, err = c.store.Get(ctx, w.key)
			next = w.read(kv, err)
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
	return c.options.Clock().Add(c.options.GrantFor)
}
