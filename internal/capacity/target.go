package capacity

import (
	"cmp"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Target is the input to the capacity computations for one target.
type Target struct {
	ID model.TargetID
	// Slots is the number of requests that the target runs concurrently when it is warm.
	Slots int
	// RampSlots is the number of slots that the slow-start ramp currently allows. Values outside 0 to Slots are clamped
	// to this range.
	RampSlots int
	// Reasons is the set of reasons for which the target is excluded; zero if it is not.
	Reasons Reasons
	// Score is the failure detector's evidence against the target. It orders targets with the same reasons.
	Score float64
}

// capacity returns the number of slots that are currently usable.
func (t Target) capacity() int { return max(0, min(t.RampSlots, t.Slots)) }

// compareSeverity orders targets by increasing severity of their exclusion. The bits of Reasons are in order of severity,
// so comparing them as numbers compares the most severe reasons first.
func compareSeverity(a, b Target) int {
	return cmp.Or(
		cmp.Compare(a.Reasons, b.Reasons),
		cmp.Compare(a.Score, b.Score),
		cmp.Compare(a.ID, b.ID),
	)
}
