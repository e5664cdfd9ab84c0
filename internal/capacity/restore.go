package capacity

import "slices"

// minimumSlots is the least capacity that a selection has if any target can take work, in slots.
const minimumSlots = 1

// restore adds excluded targets, from the least bad on, until the floor is met.
func (s *Selection) restore(excluded []Target) {
	need := max(s.FloorSlots, minimumSlots)
	if s.Slots >= need {
		return
	}
	slices.SortFunc(excluded, compareBadness)
	for _, target := range excluded {
		if s.Slots >= need {
			return
		}
		s.Use = append(s.Use, target.ID)
		s.Restored = append(s.Restored, target.ID)
		s.Slots += target.capacity()
	}
}
