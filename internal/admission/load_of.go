package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// LoadOf returns the load of a target, or false if the point has no such target.
func (p *Point) LoadOf(id model.TargetID) (Load, bool) {
	t, ok := p.targets[id]
	if !ok {
		return Load{}, false
	}
	return p.load(t), true
}

// IsLeaving reports whether the target has said that it leaves.
func (p *Point) IsLeaving(id model.TargetID) bool {
	t := p.targets[id]
	return t != nil && t.Phase.IsLeaving()
}

// Target returns one target in the form of Targets, or false if the point has no such target.
func (p *Point) Target(now time.Duration, id model.TargetID) (model.Target, bool) {
	p.advance(now)
	t, ok := p.targets[id]
	if !ok {
		return model.Target{}, false
	}
	return p.describe(t), true
}
