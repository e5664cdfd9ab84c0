package admission

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// newReadyPoint returns a point at the given time with a ready target whose ramp is over.
func newReadyPoint(t *testing.T, limits Limits, slots int) (*Point, time.Duration) {
	t.Helper()
	p := NewPoint(limits, testIncarnation)
	announceReady(t, p, 0, slots)
	for now := time.Second; now <= limits.RampFor; now += time.Second {
		announceReady(t, p, now, slots)
	}
	return p, limits.RampFor
}

func announceReady(t *testing.T, p *Point, now time.Duration, slots int) {
	t.Helper()
	a := Announcement{Service: testService, Target: "a", Address: "127.0.0.1:1", Slots: slots, Phase: model.PhaseReady}
	if err := p.Announce(now, a); err != nil {
		t.Fatal(err)
	}
}

func testRequest(now time.Duration, serial uint64, timeout time.Duration) Request {
	return Request{
		Attempt: model.NewAttemptID("n", 1, serial), Service: testService, Target: "a", Incarnation: testIncarnation,
		AdmitBefore: now + 25*time.Second, Deadline: now + timeout,
	}
}

// Guards against a target that has long been warm getting one slot after a restart of the node beside it.
func TestTargetThatTellsItsColdTimeGetsAllSlots(t *testing.T) {
	p := NewPoint(DefaultLimits(), testIncarnation)
	a := Announcement{
		Service: testService, Target: "a", Address: "127.0.0.1:1", Slots: 7, Phase: model.PhaseReady, TellsCold: true,
	}
	if err := p.Announce(0, a); err != nil {
		t.Fatal(err)
	}
	for serial := range uint64(7) {
		if d := p.Admit(0, testRequest(0, serial, time.Second)); d.Kind != Admitted {
			t.Fatalf("request %d at a target with 7 slots: %+v, want admitted", serial, d)
		}
	}
}

// Guards against full load on a cold target, and against a ramp that goes on while the process is frozen.
func TestRampGivesSlotsGradually(t *testing.T) {
	p := NewPoint(DefaultLimits(), testIncarnation)
	for second, want := range []int{1, 1, 2, 2, 3, 4, 4, 5, 5, 6, 7} {
		now := time.Duration(second) * time.Second
		announceReady(t, p, now, 7)
		if got := p.Targets(now)[0].RampSlots; got != want {
			t.Errorf("after %v: %d slots, want %d", now, got, want)
		}
	}
	cold := NewPoint(DefaultLimits(), testIncarnation)
	announceReady(t, cold, 0, 7)
	if got := cold.Targets(time.Hour)[0].RampSlots; got != 1 {
		t.Errorf("after a frozen hour: %d slots, want 1", got)
	}
}

// Guards against targets that are never reported as missing, and against a frozen process that takes its own silence
// for that of its targets.
func TestMissingCountsObservedSilenceOnly(t *testing.T) {
	p, now := newReadyPoint(t, DefaultLimits(), 3)
	now += 10 * time.Minute
	if events := p.Expire(now); len(events) != 0 {
		t.Fatalf("after a freeze: %v", events)
	}
	missing := 0
	for range 8 {
		now += time.Second
		for _, event := range p.Expire(now) {
			if event.Kind == EventMissing {
				missing++
			}
		}
	}
	if missing != 1 || !p.Targets(now)[0].Missing {
		t.Fatalf("after 8 s of silence: %d events, want 1", missing)
	}
	announceReady(t, p, now, 3)
	if p.Targets(now)[0].Missing {
		t.Fatal("the target is missing after an announcement")
	}
}

// Guards against archive pulls that take the last queue place or a slot before interactive requests.
func TestBulkLeavesPlaceToInteractive(t *testing.T) {
	limits := DefaultLimits()
	limits.QueuePerTarget = 2
	p, now := newReadyPoint(t, limits, 1)
	kinds := []Kind{Admitted, Queued, Refused, Queued, Refused}
	for i, bulk := range []bool{true, true, true, false, false} {
		r := testRequest(now, uint64(i), 20*time.Second)
		r.Bulk = bulk
		if d := p.Admit(now, r); d.Kind != kinds[i] {
			t.Fatalf("request %d: decision %d, want %d", i, d.Kind, kinds[i])
		}
	}
	grants := p.Finish(now, model.NewAttemptID("n", 1, 0), Result{Outcome: Answered})
	if len(grants) != 1 || grants[0].Attempt != model.NewAttemptID("n", 1, 3) {
		t.Fatalf("grants %v, want the interactive attempt 3", grants)
	}
}

// Guards against a queue that holds requests which cannot get a slot before their deadline.
func TestQueueRefusesWhatCannotMeetItsDeadline(t *testing.T) {
	p, now := newReadyPoint(t, DefaultLimits(), 1)
	p.Admit(now, testRequest(now, 1, 20*time.Second))
	now += time.Second
	p.Finish(now, model.NewAttemptID("n", 1, 1), Result{Outcome: Answered})
	p.Admit(now, testRequest(now, 2, 20*time.Second))
	d := p.Admit(now, testRequest(now, 3, 900*time.Millisecond))
	if d.Kind != Refused || d.Err.Reason != verdict.QueueDeadline {
		t.Fatalf("decision %+v, want a refusal with %s", d, verdict.QueueDeadline)
	}
	if d := p.Admit(now, testRequest(now, 4, 1100*time.Millisecond)); d.Kind != Queued {
		t.Fatalf("decision %+v, want queued", d)
	}
}

// Guards against held answers without bound, and against answers that are gone before their time or after a freeze.
func TestHeldAnswersAreBounded(t *testing.T) {
	limits := DefaultLimits()
	limits.HeldBytes = 100
	p, now := newReadyPoint(t, limits, 3)
	states := func() (found [3]State) {
		for i := range found {
			found[i] = p.Lookup(now, model.NewAttemptID("n", 1, uint64(i)), testIncarnation, false).State
		}
		return found
	}
	for i := range uint64(3) {
		r := testRequest(now, i, 20*time.Second)
		p.Admit(now, r)
		p.Finish(now, r.Attempt, Result{Outcome: Answered, Answer: &Answer{Status: 200, Body: make([]byte, 40)}})
	}
	if got, want := states(), [3]State{StateEnded, StateAnswered, StateAnswered}; got != want {
		t.Fatalf("over the limit: states %v, want %v", got, want)
	}
	p.Collected(model.NewAttemptID("n", 1, 1))
	now += 50 * time.Second
	p.Expire(now)
	if got, want := states(), [3]State{StateEnded, StateEnded, StateAnswered}; got != want {
		t.Fatalf("after a freeze: states %v, want %v", got, want)
	}
	for range 31 {
		now += time.Second
		p.Expire(now)
	}
	if got, want := states(), [3]State{StateEnded, StateEnded, StateEnded}; got != want {
		t.Fatalf("after 31 s: states %v, want %v", got, want)
	}
	if p.heldBytes != 0 {
		t.Fatalf("%d bytes are accounted for without an answer", p.heldBytes)
	}
}

// Guards against a Lookup or a late frame of an attempt whose record is gone being taken for a new attempt.
func TestWatermarkStandsForDroppedRecords(t *testing.T) {
	p, now := newReadyPoint(t, DefaultLimits(), 3)
	ran := testRequest(now, 5, 20*time.Second)
	p.Admit(now, ran)
	p.Finish(now, ran.Attempt, Result{Outcome: Answered})
	now += 2 * time.Minute
	p.Expire(now)
	if len(p.records) != 0 {
		t.Fatalf("%d records are left", len(p.records))
	}
	if got := p.Lookup(now, ran.Attempt, testIncarnation, true).State; got != StateEnded {
		t.Errorf("lookup of the attempt that ran: state %d, want %d", got, StateEnded)
	}
	again := testRequest(now, 5, 20*time.Second)
	if d := p.Admit(now, again); d.Kind != Refused || d.Err.Verdict != verdict.MayHaveRun {
		t.Errorf("late frame: %+v, want a refusal that does not say not-run", d)
	}
	if got := p.Lookup(now, model.NewAttemptID("n", 1, 6), testIncarnation, true); !got.Fenced {
		t.Errorf("lookup of a newer attempt: %+v, want fenced", got)
	}
}
