package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/retry"
)

const (
	// nodeMinimum is the most retries a second and service that a node makes without real requests.
	nodeMinimum = 3.0
	// fleetMinimum is the same for all nodes together, so that a large fleet does not multiply it.
	fleetMinimum = 30.0
)

// budgets holds the retry budget of each service.
type budgets struct {
	mu       sync.Mutex
	services map[model.ServiceName]*lockedBudget
	minimum  float64
}

type lockedBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newBudgets() *budgets {
	return &budgets{services: make(map[model.ServiceName]*lockedBudget), minimum: nodeMinimum}
}

// setNodes divides the fleet's minimum among its nodes.
func (b *budgets) setNodes(nodes int, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	minimum := min(nodeMinimum, fleetMinimum/float64(max(nodes, 1)))
	if minimum == b.minimum {
		return
	}
	b.minimum = minimum
	for _, l := range b.services {
		l.setMinimum(now, minimum)
	}
}

func (b *budgets) of(service model.ServiceName, now time.Duration) *lockedBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.services[service]
	if l == nil {
		l = &lockedBudget{budget: retry.NewBudget(retry.DefaultBudgetLimits(), now)}
		l.setMinimum(now, b.minimum)
		b.services[service] = l
	}
	return l
}

func (l *lockedBudget) setMinimum(now time.Duration, minimum float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.SetMinimum(now, minimum)
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
