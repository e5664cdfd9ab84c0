package capacity

import "math"

// Share returns the given share of the total capacity of the targets without a final reason, in slots, rounded up.
func Share(targets []Target, share float64) int {
	total := 0
	for _, t := range targets {
		if !t.Reasons.Final() {
			total += t.capacity()
		}
	}
	return int(math.Ceil(share * float64(total)))
}
