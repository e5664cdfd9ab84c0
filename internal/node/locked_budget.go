package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/internal/retry"
)

// lockedBudget is the retry budget of one service, safe for concurrent use.
type lockedBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
	// unlimited means that this budget is not enforced, because the admission points enforce it.
	unlimited bool
}

func (l *lockedBudget) setMinimum(now time.Duration, minimum float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.SetMinimum(now, minimum)
}

func (l *lockedBudget) request(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.AddRequest(now)
}

// take consumes one retry and reports whether the budget allowed it.
func (l *lockedBudget) take(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unlimited || l.budget.Take(now)
}

func (l *lockedBudget) decide(in retry.Input, now time.Duration, rng *rand.Rand) retry.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unlimited {
		return retry.Decide(in, nil, now, rng)
	}
	return retry.Decide(in, l.budget, now, rng)
}
