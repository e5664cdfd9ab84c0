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
	// ErrDispatched means that a claim is not released, because the request may have run or has its outcome.
	ErrDispatched = errors.New("once: the request may have run")
	// ErrEnded means that the claim was released or has its outcome already.
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

// Claim returns the ID under which Operation knows the claim.
func (g *Grant) Claim() ClaimID { return g.document.Claim }

// MayDispatch reports whether the request may be sent: the deadline has not passed, the claim has not ended, and no
// dispatch is outstanding.
func (g *Grant) MayDispatch(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatch.allowed(now)
}

// Dispatched marks the request as sent, right before it is sent. If it returns false, the request must not be sent: the
// deadline passed or the claim ended since MayDispatch.
func (g *Grant) Dispatched() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatch.begin(g.claims.options.Clock())
}

// NotRun takes in the verdict not-run for the dispatch. The request may be sent again.
func (g *Grant) NotRun() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch.notRun()
}

// Record ends the claim with an answer. An answer over MaxRecordedBytes is not recorded, only that it ran. If the store
// does not take the record, an error is returned, Operation knows the answer, and Collect tries again.
func (g *Grant) Record(ctx context.Context, answer *admission.Answer) error {
	ended := g.document.answered(g.claims.nowMS(), answer)
	outcome := Operation{State: StateAnswered, Answer: answer}
	if answer == nil {
		outcome = Operation{State: StateMayHaveRun, Reason: verdict.AnswerDropped}
	}
	return g.end(ctx, ended, outcome)
}

// Uncertain ends the claim with an outcome that is not known. A resend gets may-have-run with the reason. Errors are
// as with Record.
func (g *Grant) Uncertain(ctx context.Context, reason verdict.Reason) error {
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
	key := storeKey(g.request.service, KeyHash(g.request.key))
	err := c.saveOutcome(ctx, key, g.revision, &ended)
	if err != nil {
		c.postpone(pending{key: key, claim: ended.Claim, outcome: &ended})
	}
	return err
}

func (g *Grant) endDispatch() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatch.end()
}

// Release gives the key back, so that a resend may run. It returns ErrDispatched unless nothing was dispatched or every
// dispatch was answered not-run. Any other error means that the store still holds the claim; Collect deletes it later,
// and nothing runs under it.
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
	key := storeKey(g.request.service, KeyHash(g.request.key))
	err := c.remove(ctx, key, g.revision, g.document.Claim)
	if err != nil {
		c.postpone(pending{key: key, claim: g.document.Claim, remove: true})
	}
	return err
}
