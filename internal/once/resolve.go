package once

import (
	"context"

	"github.com/sardinereach/sardinereach/internal/store"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// resolve decides what an existing claim means for the request.
func (c *Claims) resolve(ctx context.Context, r request, kv store.KV) (Result, *verdict.Error) {
	if kv.Value == nil {
		return c.claim(ctx, r, 0)
	}
	d, err := decode(kv.Value)
	if err != nil {
		return Result{}, verdict.Uncertain(verdict.ClaimHolderLost, err)
	}
	running := &Running{
		Service:     r.service,
		KeyHash:     KeyHash(r.key),
		Claim:       d.Claim,
		Node:        d.Node,
		Incarnation: d.Incarnation,
		revision:    kv.Revision,
		document:    *d,
		request:     r,
	}
	found := judge(d, r.key, r.fingerprint, c.node, c.incarnation)
	switch found.finding {
	case foundReused:
		return Result{}, verdict.Refused(verdict.KeyReused, nil)
	case foundAnswer:
		return Result{Replay: &Replay{Answer: found.answer}}, nil
	case foundUncertain:
		return c.resolveUncertain(d.Claim, found)
	case foundElsewhere:
		return Result{Running: running}, nil
	case foundEarlier:
		err := c.Abandon(ctx, running)
		return Result{}, verdict.Uncertain(verdict.ClaimHolderLost, err)
	}
	return c.resolveOwn(ctx, running)
}

// resolveOwn decides on a claim of this incarnation from what it remembers.
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
	err := c.Abandon(ctx, running)
	return Result{}, verdict.Uncertain(verdict.ClaimHolderLost, err)
}

// resolveUncertain replays an answer that was too large to record while this node still holds it.
func (c *Claims) resolveUncertain(claim ClaimID, found judgement) (Result, *verdict.Error) {
	if op := c.Operation(claim); op.State == StateAnswered {
		return Result{Replay: &Replay{Answer: op.Answer}}, nil
	}
	return Result{}, verdict.Uncertain(found.reason, nil)
}
