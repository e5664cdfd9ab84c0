package node

import (
	"sync"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/routing"
)

// loads keeps the load counters of targets over the views that name them.
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

// learn takes in the load of a target that a view names.
func (l *loads) learn(id model.TargetID, news model.TargetLoad) {
	l.mu.Lock()
	load := l.targets[id]
	l.mu.Unlock()
	if load != nil {
		load.Update(news)
	}
}

// retain forgets targets that keep returns false for and that have no request in flight.
func (l *loads) retain(keep func(model.TargetID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, load := range l.targets {
		if load.OwnInFlight.Load() == 0 && !keep(id) {
			delete(l.targets, id)
		}
	}
}
