package capacity

import "math"

// Share returns the given share of the capacity of all targets that would not refuse the work, in slots.
func Share(targets []Target, share float64) int {
	total := 0
	for _, t := range targets {
		if !t.Reasons.Final() {
			total += t.capacity()
		}
	}
	return int(math.Ceil(share * float64(total)))
}
