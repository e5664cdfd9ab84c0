package placement

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/routing"
)

// loadMaxAge is how long news of a target's load are relied on. They are repeated within two seconds.
const loadMaxAge = 3 * time.Second

// entry is one target in a plan.
type entry struct {
	candidate *routing.Candidate
	// load is the load that the accepting node was told of; it counts only if hasNews.
	load    model.TargetLoad
	hasLoad bool
	// sortKey is smaller for targets that are asked earlier.
	sortKey   int
	requested bool
	refusal   Refusal
	// excluded means that the target does not take the request in any mode.
	excluded bool
}

func newEntry(c *routing.Candidate, now time.Duration, probe bool) entry {
	e := entry{candidate: c}
	e.load, e.hasLoad = c.Load.Latest(now - loadMaxAge)
	e.sortKey = e.computeSortKey(probe)
	return e
}

// state returns what is known of the target's room, false if it was not asked and there are no news.
func (e *entry) state() (Refusal, bool) {
	switch {
	case e.requested:
		return e.refusal, true
	case e.hasLoad:
		return Refusal{Full: e.load.Free == 0, Wait: e.load.Wait, RequiredSuccesses: e.load.RequiredSuccesses}, true
	}
	return Refusal{}, false
}

// requiredSuccesses returns the good answers that the target is known to need, 0 if it is not doubtful or not known.
func (e *entry) requiredSuccesses() int {
	state, _ := e.state()
	return state.RequiredSuccesses
}

// isHalfOpen reports whether the last runs at the target are known to have failed.
func (e *entry) isHalfOpen() bool {
	if e.hasLoad {
		return e.load.RequiredSuccesses > 0
	}
	return e.candidate.Target.BreakerHalfOpen
}

func (e *entry) isFull() bool {
	return e.candidate.IsFull() || e.hasLoad && e.load.Free == 0
}

// mayHaveFreeSlot reports whether the target is not known to refuse a request that does not wait.
func (e *entry) mayHaveFreeSlot() bool {
	return !e.hasLoad || e.load.Free > 0 && e.load.RequiredSuccesses == 0
}

// Steps of the order, each greater than the sum of the smaller ones.
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
	order := penaltyTier * c.Tier()
	if c.LastResort {
		order += penaltyLastResort
	}
	switch {
	case e.isHalfOpen() && !probe:
		order += penaltyHalfOpen
	case e.isHalfOpen() && c.Distance == routing.SameDomain:
		order -= penaltyHalfOpen
	}
	if c.Target.Cold {
		order += penaltyCold
	}
	if c.Distance != routing.SameDomain {
		order += penaltyOtherDomain
	}
	if e.isFull() {
		order += penaltyFull
	}
	return order
}
