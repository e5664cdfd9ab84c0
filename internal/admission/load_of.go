package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// LoadOf returns the state of a target, false if the point does not have it.
func (p *Point) LoadOf(id model.TargetID) (Load, bool) {
	t, ok := p.targets[id]
	if !ok {
		return Load{}, false
	}
	return p.load(t), true
}

// Target returns one target as Targets does, false if the point does not have it.
func (p *Point) Target(now time.Duration, id model.TargetID) (model.Target, bool) {
	p.advance(now)
	t, ok := p.targets[id]
	if !ok {
		return model.Target{}, false
	}
	return p.describe(t), true
}
