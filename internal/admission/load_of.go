package admission

import "github.com/sardinereach/sardinereach/internal/model"

// LoadOf returns the state of a target, false if the point does not have it.
func (p *Point) LoadOf(id model.TargetID) (Load, bool) {
	t, ok := p.targets[id]
	if !ok {
		return Load{}, false
	}
	return p.load(t), true
}
