package capacity

import "github.com/sardinereach/sardinereach/internal/model"

// Selection is the set of targets to use, with the figures behind it.
type Selection struct {
	// Use lists the targets to use: those without exclusion in the given order, then Restored.
	Use []model.TargetID
	// Restored lists the excluded targets that are used to meet the floor, from the least bad on.
	Restored []model.TargetID
	// Slots is the capacity of Use, in slots.
	Slots int
	// HealthySlots is the capacity of the targets without exclusion, in slots.
	HealthySlots int
	// FloorSlots is the floor that was asked for, in slots.
	FloorSlots int
}

// Met reports whether the selection has the capacity of the floor.
func (s Selection) Met() bool { return s.Slots >= s.FloorSlots }

// Usable returns the targets to use. Exclusions that may be taken back are taken back from the least bad on until the
// floor is met. If nothing else is left, the least bad target is used even without a floor, because refusing every
// request serves no caller. Targets without capacity are never used.
func Usable(targets []Target, floorSlots int) Selection {
	selection := Selection{FloorSlots: floorSlots}
	var excluded []Target
	for _, target := range targets {
		if target.capacity() == 0 || target.Reasons.Final() {
			continue
		}
		if target.Reasons != 0 {
			excluded = append(excluded, target)
			continue
		}
		selection.Use = append(selection.Use, target.ID)
		selection.Slots += target.capacity()
	}
	selection.HealthySlots = selection.Slots
	selection.restore(excluded)
	return selection
}
