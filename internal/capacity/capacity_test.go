package capacity

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/model"
)

var allReasons = []Reasons{Suspected, Ejected, Missing, Unreachable, Starting, Draining, Leaving}

// drawTargets returns random targets with any mix of slots, ramps and reasons, many of them without exclusion.
func drawTargets(t *rapid.T) []Target {
	n := rapid.IntRange(0, 12).Draw(t, "targets")
	targets := make([]Target, n)
	for i := range targets {
		slots := rapid.IntRange(0, 9).Draw(t, "slots")
		targets[i] = Target{
			ID:        model.TargetID(fmt.Sprintf("t%d", i)),
			Slots:     slots,
			RampSlots: rapid.IntRange(-1, 10).Draw(t, "ramp"),
			Score:     rapid.Float64Range(0, 3).Draw(t, "score"),
		}
		for range rapid.IntRange(0, 2).Draw(t, "reasons") {
			targets[i].Reasons |= rapid.SampledFrom(allReasons).Draw(t, "reason")
		}
	}
	return targets
}

func find(targets []Target, id model.TargetID) Target {
	return targets[slices.IndexFunc(targets, func(t Target) bool { return t.ID == id })]
}

// Guards against a selection below the capacity floor although more targets could be used, against selecting targets that
// would refuse requests, and against overriding more exclusions, or more severe ones, than the floor requires.
func TestUsableMeetsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		floor := rapid.IntRange(0, 80).Draw(t, "floor")
		got := Usable(targets, floor)
		slots, possible := 0, 0
		for _, target := range targets {
			used := slices.Contains(got.Use, target.ID)
			if !target.Reasons.Final() {
				possible += target.capacity()
			}
			if !used {
				if target.Reasons == 0 && target.capacity() > 0 {
					t.Fatalf("healthy target %s is not used", target.ID)
				}
				continue
			}
			slots += target.capacity()
			if target.Reasons.Final() {
				t.Fatalf("target %s is used although %s", target.ID, target.Reasons)
			}
		}
		if slots != got.Slots || slots < min(max(floor, minimumSlots), possible) {
			t.Fatalf("%d slots in use, %d reported, floor %d, %d possible", slots, got.Slots, floor, possible)
		}
		checkRestored(t, targets, got, floor)
	})
}

func checkRestored(t *rapid.T, targets []Target, got Selection, floor int) {
	if len(got.Restored) == 0 {
		return
	}
	worst := find(targets, got.Restored[len(got.Restored)-1])
	if got.Slots-worst.capacity() >= max(floor, minimumSlots) {
		t.Fatalf("target %s is not needed for the floor", worst.ID)
	}
	for _, target := range targets {
		usable := target.capacity() > 0 && !target.Reasons.Final() && target.Reasons != 0
		if usable && !slices.Contains(got.Restored, target.ID) && compareSeverity(target, worst) < 0 {
			t.Fatalf("target %s has a less severe exclusion than %s and is not used", target.ID, worst.ID)
		}
	}
}

// Guards against a sequence of allowed removals that takes the healthy capacity below the floor, whichever suspicions are
// true. It is no error if failures alone take the capacity below the floor.
func TestRemovalsKeepHealthyCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		floor := rapid.IntRange(0, 60).Draw(t, "floor")
		falselySuspected := make(map[model.TargetID]bool)
		for _, target := range targets {
			falselySuspected[target.ID] = rapid.Bool().Draw(t, "suspicion is wrong")
		}
		for range rapid.IntRange(1, 6).Draw(t, "removals") {
			if len(targets) == 0 {
				return
			}
			i := rapid.IntRange(0, len(targets)-1).Draw(t, "target")
			removal := MayRemove(targets, floor, targets[i].ID)
			if !removal.Allowed || targets[i].Reasons.Has(Draining|Leaving) {
				continue
			}
			targets[i].Reasons |= rapid.SampledFrom([]Reasons{Ejected, Draining}).Draw(t, "removal")
			if healthy := healthyInUse(targets, falselySuspected); healthy < floor {
				t.Fatalf("%d healthy slots in use after %s", healthy, removal)
			}
		}
	})
}

// healthyInUse returns the capacity of the targets that are neither removed nor actually failing.
func healthyInUse(targets []Target, falselySuspected map[model.TargetID]bool) int {
	slots := 0
	for _, target := range targets {
		failing := target.Reasons.Has(Missing|Unreachable) || (target.Reasons.Has(Suspected) && !falselySuspected[target.ID])
		if !target.Reasons.Has(Ejected|final) && !failing {
			slots += target.capacity()
		}
	}
	return slots
}

// Guards against refusal messages without the capacities that an operator needs.
func TestRemovalString(t *testing.T) {
	targets := []Target{{ID: "a", Slots: 7, RampSlots: 7}, {ID: "b", Slots: 7, RampSlots: 3, Reasons: Ejected}}
	got := MayRemove(targets, 7, "a").String()
	want := "removing target a (7 slots) leaves 0 of 7 healthy slots, floor 7, ejected 3"
	if got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := MayRemove(targets, 0, "c"); got.Allowed || got.String() != "target c is unknown" {
		t.Errorf("unknown target: %v", got)
	}
}
