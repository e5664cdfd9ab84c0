package capacity

import (
	"fmt"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Removal says whether a target may be ejected or drained, with the figures.
type Removal struct {
	Target  model.TargetID
	Allowed bool
	// Known is false if the target is not among the given ones; then nothing is allowed.
	Known bool
	// TargetSlots is the capacity of the target, in slots.
	TargetSlots int
	// BeforeSlots is the capacity without exclusion before the removal, in slots.
	BeforeSlots int
	// AfterSlots is the capacity without exclusion after the removal, in slots.
	AfterSlots int
	// EjectedSlots is the capacity that is ejected on suspicion already, in slots.
	EjectedSlots int
	// FloorSlots is the floor, in slots.
	FloorSlots int
}

// String returns the figures for operators and logs.
func (r Removal) String() string {
	if !r.Known {
		return fmt.Sprintf("target %s is unknown", r.Target)
	}
	return fmt.Sprintf("removing target %s (%d slots) leaves %d of %d healthy slots, floor %d, ejected %d",
		r.Target, r.TargetSlots, r.AfterSlots, r.BeforeSlots, r.FloorSlots, r.EjectedSlots)
}

// MayRemove says whether the target id may be ejected or drained. Only targets without any exclusion count as healthy
// capacity afterwards: a suspected target may really be failing, and an ejected one may really be healthy, so neither
// may stand in for the target that is removed. A target that drains or leaves already may be removed again.
func MayRemove(targets []Target, floorSlots int, id model.TargetID) Removal {
	removal := Removal{Target: id, FloorSlots: floorSlots}
	gone := false
	for _, target := range targets {
		if target.Reasons.Has(Ejected) {
			removal.EjectedSlots += target.capacity()
		}
		if target.ID == id {
			removal.Known = true
			removal.TargetSlots = target.capacity()
			gone = target.Reasons.Has(Draining | Leaving)
		}
		if target.Reasons != 0 {
			continue
		}
		removal.BeforeSlots += target.capacity()
		if target.ID != id {
			removal.AfterSlots += target.capacity()
		}
	}
	removal.Allowed = removal.Known && (gone || removal.AfterSlots >= floorSlots)
	return removal
}
