package placement

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/routing"
)

// newsFor is how long news of a target's load are relied on. They are repeated within two seconds.
const newsFor = 3 * time.Second

// entry is one target in a plan.
type entry struct {
	candidate *routing.Candidate
	// news is the load that the accepting node was told of; it counts only if hasNews.
	news    model.TargetLoad
	hasNews bool
	// order is smaller for targets that are asked earlier.
	order   int
	asked   bool
	refusal Refusal
	// closed means that the target does not take the request in any mode.
	closed bool
}

func newEntry(c *routing.Candidate, now time.Duration, probe bool) entry {
	e := entry{candidate: c}
	e.news, e.hasNews = c.Load.Known(now - newsFor)
	e.order = e.orderOf(probe)
	return e
}

// state returns what is known of the target's room, false if it was not asked and there are no news.
func (e *entry) state() (Refusal, bool) {
	switch {
	case e.asked:
		return e.refusal, true
	case e.hasNews:
		return Refusal{Full: e.news.Free == 0, Wait: e.news.Wait, Doubt: e.news.Doubt}, true
	}
	return Refusal{}, false
}

// doubt returns the good answers that the target is known to need, 0 if it is not doubtful or not known.
func (e *entry) doubt() int {
	state, _ := e.state()
	return state.Doubt
}

// isDoubtful reports whether the last runs at the target are known to have failed.
func (e *entry) isDoubtful() bool {
	if e.hasNews {
		return e.news.Doubt > 0
	}
	return e.candidate.Target.Doubtful
}

func (e *entry) isFull() bool {
	return e.candidate.IsFull() || e.hasNews && e.news.Free == 0
}

// mayHaveRoom reports whether the target is not known to refuse a request that does not wait.
func (e *entry) mayHaveRoom() bool {
	return !e.hasNews || e.news.Free > 0 && e.news.Doubt == 0
}

// Steps of the order, each greater than the sum of the smaller ones.
const (
	stepFull       = 1
	stepDomain     = 2
	stepCold       = 4
	stepDoubt      = 8
	stepLastResort = 16
	stepTier       = 32
)

func (e *entry) orderOf(probe bool) int {
	c := e.candidate
	order := stepTier * c.Tier()
	if c.LastResort {
		order += stepLastResort
	}
	switch {
	case e.isDoubtful() && !probe:
		order += stepDoubt
	case e.isDoubtful() && c.Distance == routing.SameDomain:
		order -= stepDoubt
	}
	if c.Target.Cold {
		order += stepCold
	}
	if c.Distance != routing.SameDomain {
		order += stepDomain
	}
	if e.isFull() {
		order += stepFull
	}
	return order
}
