package capacity

import (
	"fmt"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Removal is the decision whether a target may be ejected or drained, with the capacities that it is based on.
type Removal struct {
	Target  model.TargetID
	Allowed bool
	// Found reports whether the target is among the given ones. If not, the removal is not allowed.
	Found bool
	// TargetSlots is the capacity of the target, in slots.
	TargetSlots int
	// BeforeSlots is the capacity of the targets without exclusion before the removal, in slots.
	BeforeSlots int
	// AfterSlots is the capacity of the targets without exclusion after the removal, in slots.
	AfterSlots int
	// EjectedSlots is the capacity of the targets that are already ejected, in slots.
	EjectedSlots int
	// FloorSlots is the capacity floor, in slots.
	FloorSlots int
}

// String returns the decision's capacities as text for operators and logs.
func (r Removal) String() string {
	if !r.Found {
		return fmt.Sprintf("target %s is unknown", r.Target)
	}
	return fmt.Sprintf("removing target %s (%d slots) leaves %d of %d healthy slots, floor %d, ejected %d",
		r.Target, r.TargetSlots, r.AfterSlots, r.BeforeSlots, r.FloorSlots, r.EjectedSlots)
}

// MayRemove decides whether the target id may be ejected or drained. Only targets without any exclusion count as capacity
// that remains after the removal. A suspected target may really be failing, and an ejected target is not in use although it
// may be healthy, so neither replaces the capacity of the removed target. A target that is already draining or leaving may
// always be removed.
func MayRemove(targets []Target, floorSlots int, id model.TargetID) Removal {
	removal := Removal{Target: id, FloorSlots: floorSlots}
	leaving := false
	for _, target := range targets {
		if target.Reasons.Has(Ejected) {
			removal.EjectedSlots += target.capacity()
		}
		if target.ID == id {
			removal.Found = true
			removal.TargetSlots = target.capacity()
			leaving = target.Reasons.Has(Draining | Leaving)
		}
		if target.Reasons != 0 {
			continue
		}
		removal.BeforeSlots += target.capacity()
		if target.ID != id {
			removal.AfterSlots += target.capacity()
		}
	}
	removal.Allowed = removal.Found && (leaving || removal.AfterSlots >= floorSlots)
	return removal
}
