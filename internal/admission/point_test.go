package admission

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// newReadyPoint returns a point with a ready target, and the time at which the target's ramp is over.
func newReadyPoint(t *testing.T, limits Limits, slots int) (*Point, time.Duration) {
	t.Helper()
	p := NewPoint(limits, testIncarnation)
	announceReady(t, p, 0, slots)
	for now := time.Second; now <= limits.RampDuration; now += time.Second {
		announceReady(t, p, now, slots)
	}
	return p, limits.RampDuration
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

// Guards against a warm target getting only one slot after a restart of its admitting node.
func TestTargetThatReportsColdRemainingGetsAllSlots(t *testing.T) {
	p := NewPoint(DefaultLimits(), testIncarnation)
	a := Announcement{
		Service: testService, Target: "a", Address: "127.0.0.1:1", Slots: 7, Phase: model.PhaseReady, HasColdRemaining: true,
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

// Guards against full load on a cold target, and against a ramp that continues while the process is frozen.
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

// Guards against targets that are never reported as missing, and against reporting targets as missing because the node
// itself was frozen.
func TestMissingIgnoresFrozenTime(t *testing.T) {
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
		t.Fatalf("after 8 s without an announcement: %d events, want 1", missing)
	}
	announceReady(t, p, now, 3)
	if p.Targets(now)[0].Missing {
		t.Fatal("the target is missing after an announcement")
	}
}

// Guards against bulk requests, such as archive pulls, that take the last queue place or get a slot before interactive
// requests.
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

// Guards against queueing requests that cannot get a slot before their deadline.
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

// Guards against unbounded retained responses, and against responses that are dropped before they expire or because of a
// freeze.
func TestRetainedResponsesAreBounded(t *testing.T) {
	limits := DefaultLimits()
	limits.RetainedBytes = 100
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
	p.AcknowledgeResponse(model.NewAttemptID("n", 1, 1))
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
	if p.retainedBytes != 0 {
		t.Fatalf("%d bytes are accounted for without a retained response", p.retainedBytes)
	}
}

// Guards against treating a Lookup or a late frame of an attempt whose record was removed as a new attempt.
func TestWatermarkCoversRemovedRecords(t *testing.T) {
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
		t.Errorf("late frame: %+v, want a refusal with another verdict than not-run", d)
	}
	if got := p.Lookup(now, model.NewAttemptID("n", 1, 6), testIncarnation, true); !got.Fenced {
		t.Errorf("lookup of a newer attempt: %+v, want fenced", got)
	}
}
