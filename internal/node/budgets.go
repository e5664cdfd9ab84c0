package node

import (
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/retry"
	"github.com/sardinereach/sardinereach/internal/settings"
)

// maxNodeMinimum bounds the retries per second and service that a node may make regardless of its request rate.
const maxNodeMinimum = 3.0

// budgets contains the retry budget of each service.
type budgets struct {
	limits settings.Retries

	mu       sync.Mutex
	services map[model.ServiceName]*lockedBudget
	minimum  float64
}

func newBudgets(limits settings.Retries) *budgets {
	return &budgets{
		limits: limits, services: make(map[model.ServiceName]*lockedBudget),
		minimum: min(maxNodeMinimum, limits.FleetPerSecond),
	}
}

// setNodes divides the minimum retry rate of the fleet among its nodes.
func (b *budgets) setNodes(nodes int, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	minimum := min(maxNodeMinimum, b.limits.FleetPerSecond/float64(max(nodes, 1)))
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
		limits := retry.BudgetLimits{Share: b.limits.Share, MinPerSecond: maxNodeMinimum, Burst: b.limits.Burst}
		l = &lockedBudget{budget: retry.NewBudget(limits, now), unlimited: b.limits.WindowExtra > 0}
		l.setMinimum(now, b.minimum)
		b.services[service] = l
	}
	return l
}
