package node

import (
	"testing"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against hedges that keep asking the targets whose part of the retry budget is spent.
func TestNextAttemptLeavesOutSpentTargets(t *testing.T) {
	h := new(hedge)
	h.tried.Add("admitted")
	check := func(when string, want map[model.TargetID]bool) {
		excluded := h.excluded()
		for id, left := range want {
			if got := excluded.Has(id); got != left {
				t.Errorf("%s: %s left out %v, want %v", when, id, got, left)
			}
		}
	}
	h.recordSpent([]model.TargetID{"spent"})
	check("after a refusal", map[model.TargetID]bool{"admitted": true, "spent": true, "other": false})
	h.recordSpent(nil)
	check("when no other was left", map[model.TargetID]bool{"admitted": true, "spent": false})
}
