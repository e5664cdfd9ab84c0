package routing

import (
	"maps"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Tried is the set of targets that were tried for a request. The zero value is empty.
type Tried struct {
	ids   [inlineTried]model.TargetID
	count int
	more  map[model.TargetID]bool
}

// inlineTried is the number of targets that are stored without an allocation.
const inlineTried = 8

// Add adds a target unless it is already in the set.
func (t *Tried) Add(id model.TargetID) {
	if t.Has(id) {
		return
	}
	if t.count < inlineTried {
		t.ids[t.count] = id
		t.count++
		return
	}
	if t.more == nil {
		t.more = make(map[model.TargetID]bool)
	}
	t.more[id] = true
}

// Remove removes a target, so that it may be tried again.
func (t *Tried) Remove(id model.TargetID) {
	for i := 0; i < t.count; i++ {
		if t.ids[i] == id {
			t.count--
			t.ids[i] = t.ids[t.count]
			return
		}
	}
	delete(t.more, id)
}

// Has reports whether the target was added.
func (t *Tried) Has(id model.TargetID) bool {
	for i := 0; i < t.count; i++ {
		if t.ids[i] == id {
			return true
		}
	}
	return t.more[id]
}

// Clone returns a copy that later changes of the set do not affect.
func (t *Tried) Clone() *Tried {
	c := *t
	c.more = maps.Clone(t.more)
	return &c
}

// Empty reports whether no target was added.
func (t *Tried) Empty() bool { return t.count == 0 && len(t.more) == 0 }

// Clear empties the set for another pass over all targets.
func (t *Tried) Clear() { *t = Tried{} }
