package node

import (
	"sync"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/routing"
)

// loads holds the load counters of targets. They persist when a new routing view replaces the previous one.
type loads struct {
	mu      sync.Mutex
	targets map[model.TargetID]*routing.Load
}

func newLoads() *loads { return &loads{targets: make(map[model.TargetID]*routing.Load)} }

func (l *loads) of(id model.TargetID) *routing.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.targets[id]
	if load == nil {
		load = new(routing.Load)
		l.targets[id] = load
	}
	return load
}

// update applies a load update of a target. It ignores targets that no view has used.
func (l *loads) update(id model.TargetID, reported model.TargetLoad) {
	l.mu.Lock()
	load := l.targets[id]
	l.mu.Unlock()
	if load != nil {
		load.Update(reported)
	}
}

// retain removes the targets for which keep returns false and that have no request in flight.
func (l *loads) retain(keep func(model.TargetID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, load := range l.targets {
		if load.OwnInFlight.Load() == 0 && !keep(id) {
			delete(l.targets, id)
		}
	}
}
