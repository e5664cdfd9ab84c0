package capacity

import "slices"

// minimumSlots is the minimum capacity of a selection if any target can accept requests, in slots.
const minimumSlots = 1

// restore adds excluded targets in order of increasing severity until the capacity floor is met.
func (s *Selection) restore(excluded []Target) {
	required := max(s.FloorSlots, minimumSlots)
	if s.Slots >= required {
		return
	}
	slices.SortFunc(excluded, compareSeverity)
	for _, target := range excluded {
		if s.Slots >= required {
			return
		}
		s.Use = append(s.Use, target.ID)
		s.Restored = append(s.Restored, target.ID)
		s.Slots += target.capacity()
	}
}
