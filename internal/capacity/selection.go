package capacity

import "github.com/sardinereach/sardinereach/internal/model"

// Selection is the set of targets to use, with the capacities that it is based on.
type Selection struct {
	// Use lists the targets to use: those without exclusion in the given order, then Restored.
	Use []model.TargetID
	// Restored lists the excluded targets that are used to meet the capacity floor, in order of increasing severity.
	Restored []model.TargetID
	// Slots is the capacity of Use, in slots.
	Slots int
	// HealthySlots is the capacity of the targets without exclusion, in slots.
	HealthySlots int
	// FloorSlots is the requested capacity floor, in slots.
	FloorSlots int
}

// Met reports whether the selection meets the capacity floor.
func (s Selection) Met() bool { return s.Slots >= s.FloorSlots }

// Usable returns the targets to use. If the targets without exclusion do not meet the capacity floor, exclusions that may be
// overridden are overridden in order of increasing severity until it is met. If all targets are excluded, the one with the
// least severe exclusion is used even without a floor, because refusing every request serves no caller. Targets without
// capacity are never used.
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
