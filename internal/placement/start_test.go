package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/placement"
	"github.com/sardinereach/sardinereach/internal/routing"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

const (
	startTargets  = 7
	startSlots    = 15
	startRequests = 55
	// startFloor is the share of the healthy targets that must be in use.
	startFloor = 0.7
)

// Guards against healthy targets that get no request while others that hang are filled up: nothing is answered yet.
func TestRequestsThatCannotBeRetriedReachAllTargetsBeforeTheFirstAnswer(t *testing.T) {
	points := make(map[model.TargetID]*admission.Point)
	var candidates []*routing.Candidate
	for i := range startTargets {
		id := model.TargetID(rune('a' + i))
		points[id] = admission.NewPoint(admission.DefaultLimits(), 1)
		announcement := admission.Announcement{
			Service: "s", Target: id, Address: "x", Slots: startSlots, Phase: model.PhaseReady, HasColdRemaining: true,
		}
		if err := points[id].Announce(0, announcement); err != nil {
			t.Fatal(err)
		}
		candidates = append(candidates, &routing.Candidate{
			Target: model.Target{ID: id, Slots: startSlots, RampSlots: startSlots}, Load: new(routing.Load),
		})
	}
	pool, random := routing.NewPool(candidates), rand.New(rand.NewPCG(1, 1))
	used := make(map[model.TargetID]int)
	for serial := range startRequests {
		now := time.Duration(serial) * 2 * time.Second / startRequests
		request := placement.Request{Objective: 5 * time.Second, Bytes: 4 << 10}
		plan := placement.New(pool, new(routing.Tried), request, now, random)
		used[admit(t, points, plan, serial, now)]++
	}
	if share := float64(len(used)) / startTargets; share < startFloor {
		t.Errorf("%.2f of the targets are in use after 2 s, want %.2f: %v", share, startFloor, used)
	}
	for id, count := range used {
		if count >= startSlots {
			t.Errorf("target %s is full while others have free slots: %v", id, used)
		}
	}
}

// admit sends admission requests in the order of the plan and returns the target that admits one.
func admit(t *testing.T, points map[model.TargetID]*admission.Point, plan *placement.Plan, serial int, now time.Duration) model.TargetID {
	t.Helper()
	for asked := 0; ; asked++ {
		choice, ok := plan.Next()
		if !ok {
			t.Fatalf("request %d at %v is admitted by no target", serial, now)
		}
		id := choice.Candidate.Target.ID
		d := points[id].Admit(now, admission.Request{
			Attempt: model.NewAttemptID(model.NodeID(fmt.Sprint("n", asked)), 1, uint64(serial)+1), Service: "s", Target: id, Incarnation: 1,
			AdmitBefore: now + 10*time.Second, Deadline: now + 10*time.Second, Route: "r", Objective: 5 * time.Second,
			ObjectiveRemaining: 5 * time.Second, IdleOnly: choice.Mode == placement.IdleOnly,
		})
		if d.Kind != admission.Refused {
			return id
		}
		plan.RecordRefusal(placement.Refusal{
			Full: d.Err.Reason == verdict.SlotsFull, Free: d.Load.Slots - d.Load.InFlight, Wait: d.Load.ExpectedWait,
		})
	}
}
