package admission

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

func idleOnlyRequest(now time.Duration, serial uint64, idempotent bool) Request {
	r := routeRequest(now, serial, "/r", idempotent)
	r.IdleOnly = true
	return r
}

// Guards against a target that hangs and fills all its slots with non-idempotent requests before a run of it is overdue.
func TestHangingTargetIsNotFilledBeforeItsRunsAreOverdue(t *testing.T) {
	const slots = 15
	p, now := newReadyPoint(t, DefaultLimits(), slots)
	now = establishBaseline(t, p, now)
	admitted := 0
	for serial := range uint64(slots) {
		now += time.Millisecond
		if p.Admit(now, idleOnlyRequest(now, serial, false)).Kind == Admitted {
			admitted++
		}
	}
	if want := slots / unansweredSlotsDivisor; admitted != want {
		t.Errorf("%d non-idempotent requests admitted without an answer, want %d", admitted, want)
	}
	if d := p.Admit(now, idleOnlyRequest(now, 100, true)); d.Kind != Admitted {
		t.Errorf("idempotent request: %+v, want admitted", d)
	}
	if d := p.Admit(now, routeRequest(now, 101, "/r", false)); d.Kind != Admitted {
		t.Errorf("request that no other target has a free slot for: %+v, want admitted", d)
	}
}

// Guards against a target that answers and yet gets no more requests than one that hangs.
func TestAnswersFreeTheSlotsOfATarget(t *testing.T) {
	const slots = 15
	p, now := newReadyPoint(t, DefaultLimits(), slots)
	var first Request
	for serial := range uint64(slots) {
		now += time.Millisecond
		r := idleOnlyRequest(now, serial, false)
		d := p.Admit(now, r)
		switch {
		case serial == 0:
			first = r
		case d.Kind == Refused && d.Err.Reason != verdict.SlotsFull:
			t.Fatalf("refused as %s, want %s", d.Err.Reason, verdict.SlotsFull)
		}
	}
	now += time.Millisecond
	p.Finish(now, first.Attempt, Result{Outcome: Answered})
	if d := p.Admit(now, idleOnlyRequest(now, 100, false)); d.Kind != Admitted {
		t.Errorf("after an answer: %+v, want admitted", d)
	}
}
