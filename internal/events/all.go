package events

import "sort"

// All returns the catalogue in the order of the numbers.
func All() []*Event {
	all := append([]*Event{unknownReason}, fixed...)
	for _, event := range reasonEvents {
		all = append(all, event)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}
