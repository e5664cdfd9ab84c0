package once

import (
	"context"

	"github.com/sardinereach/sardinereach/internal/store"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// resolveConflict decides on a request whose key already has a claim in the store.
func (c *Claims) resolveConflict(ctx context.Context, r request, kv store.KV) (Result, *verdict.Error) {
	if kv.Value == nil {
		return c.create(ctx, r, 0)
	}
	d, err := decode(kv.Value)
	if err != nil {
		return Result{}, verdict.Uncertain(verdict.ClaimHolderLost, err)
	}
	running := &Running{
		Service:     r.service,
		KeyHash:     r.hash(),
		Claim:       d.Claim,
		Node:        d.Node,
		Incarnation: d.Incarnation,
		revision:    kv.Revision,
		document:    *d,
		request:     r,
	}
	existing := classify(d, r, c.node, c.incarnation)
	switch existing.status {
	case statusKeyReused:
		return Result{}, verdict.Refused(verdict.KeyReused, nil)
	case statusAnswered:
		return Result{Replay: &Replay{Answer: existing.answer}}, nil
	case statusUncertain:
		return c.resolveUncertain(d.Claim, existing)
	case statusOtherHolder:
		return Result{Running: running}, nil
	case statusEarlierIncarnation:
		err := c.MarkHolderLost(ctx, running)
		return Result{}, verdict.Uncertain(verdict.ClaimHolderLost, err)
	}
	return c.resolveOwn(ctx, running)
}

// resolveOwn decides on a claim of this incarnation from its cache.
func (c *Claims) resolveOwn(ctx context.Context, running *Running) (Result, *verdict.Error) {
	op := c.Operation(running.Claim)
	switch op.State {
	case StateRunning:
		running.Local = true
		return Result{Running: running}, nil
	case StateNotRun:
		return c.TakeOver(ctx, running)
	case StateAnswered:
		return Result{Replay: &Replay{Answer: op.Answer}}, nil
	case StateMayHaveRun:
		return Result{}, verdict.Uncertain(op.Reason, nil)
	}
	err := c.MarkHolderLost(ctx, running)
	return Result{}, verdict.Uncertain(verdict.ClaimHolderLost, err)
}

// resolveUncertain replays a response that was too large for the store, as long as this node has it in its cache.
func (c *Claims) resolveUncertain(claim ClaimID, existing classification) (Result, *verdict.Error) {
	if op := c.Operation(claim); op.State == StateAnswered {
		return Result{Replay: &Replay{Answer: op.Answer}}, nil
	}
	return Result{}, verdict.Uncertain(existing.reason, nil)
}
