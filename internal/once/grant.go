package once

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

var (
	// ErrDispatched means that a claim was not released because the request may have run or already has an outcome.
	ErrDispatched = errors.New("once: the request may have run")
	// ErrEnded means that the claim was released or already has an outcome.
	ErrEnded = errors.New("once: the claim has ended")
)

// Grant allows its holder to run the request of one claim. It is safe for concurrent use.
type Grant struct {
	claims   *Claims
	request  request
	revision int64

	mu       sync.Mutex
	document document
	dispatch dispatch
}

func (c *Claims) newGrant(ctx context.Context, r request, d document, revision int64) *Grant {
	return &Grant{
		claims:   c,
		request:  r,
		revision: revision,
		document: d,
		dispatch: dispatch{deadline: c.deadline(ctx)},
	}
}

// Claim returns the ID of the claim, for use with Claims.Operation.
func (g *Grant) Claim() ClaimID { return g.document.Claim }

// MayDispatch reports whether the request may be sent: the deadline has not passed, the claim has not ended, and no
// dispatch is outstanding.
func (g *Grant) MayDispatch(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatch.allowed(now)
}

// BeginDispatch marks the request as sent; it is called right before sending. If it returns false, the request must not
// be sent: the deadline passed or the claim ended since MayDispatch.
func (g *Grant) BeginDispatch() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatch.begin(g.claims.options.Clock())
}

// RecordNotRun records the verdict not-run for the dispatch. The request may be sent again.
func (g *Grant) RecordNotRun() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch.markNotRun()
}

// Record ends the claim with a response. If the response is larger than MaxRecordedBytes, the store only gets the fact
// that the request ran. If the store write fails, Record returns an error, Claims.Operation still returns the response,
// and CollectGarbage retries the write.
func (g *Grant) Record(ctx context.Context, answer *admission.Answer) error {
	ended := g.document.answered(g.claims.nowMS(), answer)
	outcome := Operation{State: StateAnswered, Answer: answer}
	if answer == nil {
		outcome = Operation{State: StateMayHaveRun, Reason: verdict.AnswerDropped}
	}
	return g.end(ctx, ended, outcome)
}

// RecordUncertain ends the claim with an unknown outcome. A client retry gets may-have-run with the reason. Errors are as
// in Record.
func (g *Grant) RecordUncertain(ctx context.Context, reason verdict.Reason) error {
	ended := g.document.uncertain(g.claims.nowMS(), reason)
	return g.end(ctx, ended, Operation{State: StateMayHaveRun, Reason: reason})
}

func (g *Grant) end(ctx context.Context, ended document, outcome Operation) error {
	if !g.endDispatch() {
		return ErrEnded
	}
	c := g.claims
	c.mu.Lock()
	c.operations.end(c.options.Clock(), ended.Claim, outcome)
	c.mu.Unlock()
	key := storeKey(g.request.service, g.request.hash())
	err := c.saveOutcome(ctx, key, g.revision, &ended)
	if err != nil {
		c.enqueue(pendingWrite{key: key, claim: ended.Claim, outcome: &ended})
	}
	return err
}

func (g *Grant) endDispatch() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatch.end()
}

// Release deletes the claim so that a client retry may run. It returns ErrDispatched unless nothing was dispatched or
// every dispatch had the verdict not-run. After any other error the claim may remain in the store; nothing runs under
// it, and CollectGarbage deletes it later.
func (g *Grant) Release(ctx context.Context) error {
	g.mu.Lock()
	released := g.dispatch.release()
	g.mu.Unlock()
	if !released {
		return ErrDispatched
	}
	c := g.claims
	c.mu.Lock()
	c.operations.end(c.options.Clock(), g.document.Claim, Operation{State: StateNotRun})
	c.mu.Unlock()
	key := storeKey(g.request.service, g.request.hash())
	err := c.remove(ctx, key, g.revision, g.document.Claim)
	if err != nil {
		c.enqueue(pendingWrite{key: key, claim: g.document.Claim, remove: true})
	}
	return err
}
