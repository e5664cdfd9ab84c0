package events

import "sort"

// All returns the catalogue, sorted by number.
func All() []*Event {
	all := append([]*Event{unknownReason}, nonReasonEvents...)
	for _, event := range reasonEvents {
		all = append(all, event)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}
