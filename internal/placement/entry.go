package placement

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/routing"
)

// loadMaxAge is the age up to which a load update of a target is used. Updates are sent again within two seconds.
const loadMaxAge = 3 * time.Second

// entry is one target in a plan.
type entry struct {
	candidate *routing.Candidate
	// load is the latest load update that the accepting node has received. It is valid only if hasLoad is set.
	load    model.TargetLoad
	hasLoad bool
	// sortKey orders the targets of a plan, the smallest first.
	sortKey int
	// requested means that the target was sent an admission request. refusal is its latest response.
	requested bool
	refusal   Refusal
	// excluded means that the target is not sent another admission request in any mode.
	excluded bool
}

func newEntry(c *routing.Candidate, now time.Duration, probe bool) entry {
	e := entry{candidate: c}
	e.load, e.hasLoad = c.Load.Latest(now - loadMaxAge)
	e.sortKey = e.computeSortKey(probe)
	return e
}

// state returns the free capacity and the breaker state of the target from its refusal or, before one, from the load
// update. It returns false if there is neither.
func (e *entry) state() (Refusal, bool) {
	switch {
	case e.requested:
		return e.refusal, true
	case e.hasLoad:
		return Refusal{Full: e.load.Free == 0, Wait: e.load.Wait, RequiredSuccesses: e.load.RequiredSuccesses}, true
	}
	return Refusal{}, false
}

// requiredSuccesses returns the successes that the target's half-open breaker needs to close, 0 if the breaker is closed
// or its state is unknown.
func (e *entry) requiredSuccesses() int {
	state, _ := e.state()
	return state.RequiredSuccesses
}

// isHalfOpen reports whether the circuit breaker of the target is half-open, according to the load update or, without
// one, to the member record.
func (e *entry) isHalfOpen() bool {
	if e.hasLoad {
		return e.load.RequiredSuccesses > 0
	}
	return e.candidate.Target.BreakerHalfOpen
}

func (e *entry) isFull() bool {
	return e.candidate.IsFull() || e.hasLoad && e.load.Free == 0
}

// mayHaveFreeSlot reports whether no load update shows that the target refuses a request that does not wait.
func (e *entry) mayHaveFreeSlot() bool {
	return !e.hasLoad || e.load.Free > 0 && e.load.RequiredSuccesses == 0
}

// Penalties that add up to the sort key. Each is greater than the sum of the smaller ones.
const (
	penaltyFull        = 1
	penaltyOtherDomain = 2
	penaltyCold        = 4
	penaltyHalfOpen    = 8
	penaltyLastResort  = 16
	penaltyTier        = 32
)

func (e *entry) computeSortKey(probe bool) int {
	c := e.candidate
	key := penaltyTier * c.Tier()
	if c.LastResort {
		key += penaltyLastResort
	}
	switch {
	case e.isHalfOpen() && !probe:
		key += penaltyHalfOpen
	case e.isHalfOpen() && c.Distance == routing.SameDomain:
		key -= penaltyHalfOpen
	}
	if c.Target.Cold {
		key += penaltyCold
	}
	if c.Distance != routing.SameDomain {
		key += penaltyOtherDomain
	}
	if e.isFull() {
		key += penaltyFull
	}
	return key
}
