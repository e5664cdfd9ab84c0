package capacity

import (
	"cmp"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Target is what the floor arithmetic needs to know of one target.
type Target struct {
	ID model.TargetID
	// Slots is the number of requests that the target runs at a time when it is warm.
	Slots int
	// RampSlots is the number of slots that the cold-start ramp gives at present. Values outside 0 to Slots count as
	// the nearer end.
	RampSlots int
	// Reasons says why the target is excluded; zero if it is not.
	Reasons Reasons
	// Score is the detector's evidence against the target. It orders targets that are excluded for equal reasons.
	Score float64
}

// capacity returns the slots that the target gives at present.
func (t Target) capacity() int { return max(0, min(t.RampSlots, t.Slots)) }

// compareBadness orders targets from the least bad on. Reasons compare by the worst one first, because the bits are in
// that order.
func compareBadness(a, b Target) int {
	return cmp.Or(
		cmp.Compare(a.Reasons, b.Reasons),
		cmp.Compare(a.Score, b.Score),
		cmp.Compare(a.ID, b.ID),
	)
}
