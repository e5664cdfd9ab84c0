package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/retry"
)

// budgets holds the retry budget of each service.
type budgets struct {
	mu       sync.Mutex
	services map[model.ServiceName]*lockedBudget
}

type lockedBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newBudgets() *budgets { return &budgets{services: make(map[model.ServiceName]*lockedBudget)} }

func (b *budgets) of(service model.ServiceName, now time.Duration) *lockedBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.services[service]
	if l == nil {
		l = &lockedBudget{budget: retry.NewBudget(retry.DefaultBudgetLimits(), now)}
		b.services[service] = l
	}
	return l
}

func (l *lockedBudget) request(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Request(now)
}

func (l *lockedBudget) decide(in retry.Input, now time.Duration, rng *rand.Rand) retry.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return retry.Decide(in, l.budget, now, rng)
}
