package admission

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// routeRequest returns a request of a route with a latency objective of one second.
func routeRequest(now time.Duration, serial uint64, route string, idempotent bool) Request {
	r := testRequest(now, serial, 20*time.Second)
	r.Route, r.Idempotent = route, idempotent
	r.Objective, r.ObjectiveRemaining = time.Second, time.Second
	return r
}

// serve admits a request, runs it for the given time and ends it. It returns the time of the end.
func serve(t *testing.T, p *Point, now time.Duration, r Request, run time.Duration, result Result) time.Duration {
	t.Helper()
	if d := p.Admit(now, r); d.Kind != Admitted {
		t.Fatalf("request %s at %v: %+v, want admitted", r.Attempt, now, d)
	}
	now += run
	p.Expire(now)
	p.Finish(now, r.Attempt, result)
	return now
}

// establishBaseline runs enough requests for a baseline latency of 100 ms.
func establishBaseline(t *testing.T, p *Point, now time.Duration) time.Duration {
	t.Helper()
	for serial := range uint64(minBaselineRuns) {
		now = serve(t, p, now, routeRequest(now, 1000+serial, "/r", true), 100*time.Millisecond, Result{Outcome: Answered})
	}
	return now
}

// Guards against sending non-idempotent requests to a target that hangs, where they are lost, and against a recovered target
// that gets no requests.
func TestHangingTargetGetsProbesOnly(t *testing.T) {
	p, now := newReadyPoint(t, DefaultLimits(), 3)
	now = establishBaseline(t, p, now)
	hung := routeRequest(now, 1, "/r", false)
	p.Admit(now, hung)
	p.Admit(now, routeRequest(now, 9, "/r", false))
	now += 250 * time.Millisecond
	events := p.Expire(now)
	if len(events) != 1 || events[0].Kind != EventBreakerTripped || !events[0].Evidence.Overdue {
		t.Fatalf("after 2.5 times the baseline latency: events %+v, want a tripped breaker", events)
	}
	if d := p.Admit(now, routeRequest(now, 2, "/r", false)); d.Kind != Refused || d.Err.Reason != verdict.TargetDoubtful {
		t.Fatalf("non-idempotent request at a half-open breaker: %+v", d)
	}
	probe := routeRequest(now, 3, "/r", true)
	if d := p.Admit(now, probe); d.Kind != Admitted {
		t.Fatalf("probe: %+v", d)
	}
	if d := p.Admit(now, routeRequest(now, 4, "/r", true)); d.Kind != Refused {
		t.Fatalf("second probe at the same time: %+v", d)
	}
	now += 100 * time.Millisecond
	p.Finish(now, probe.Attempt, Result{Outcome: Answered})
	now = serve(t, p, now, routeRequest(now, 5, "/r", true), 100*time.Millisecond, Result{Outcome: Answered})
	if d := p.Admit(now, routeRequest(now, 6, "/r", false)); d.Kind != Admitted {
		t.Fatalf("after %d successes: %+v, want admitted", minRequiredSuccesses, d)
	}
}

// Guards against a probe that hangs until its deadline and keeps the breaker of a recovered target half-open, and against
// probes that occupy every slot of a target that hangs.
func TestHangingProbeDoesNotDelayTheNext(t *testing.T) {
	const slots = 4
	p, now := newReadyPoint(t, DefaultLimits(), slots)
	now = serve(t, p, now, routeRequest(now, 1, "/r", true), time.Millisecond, Result{Outcome: Lost, Failed: true})
	for probe := range uint64(slots - 1) {
		now += maxProbeInterval
		if d := p.Admit(now, routeRequest(now, 2+probe, "/r", true)); d.Kind != Admitted {
			t.Fatalf("probe %d: %+v, want admitted", probe, d)
		}
		if d := p.Admit(now, routeRequest(now, 102+probe, "/r", true)); d.Kind != Refused {
			t.Fatalf("another probe at the same time: %+v, want refused", d)
		}
	}
	now += maxProbeInterval
	if d := p.Admit(now, routeRequest(now, 200, "/r", true)); d.Kind != Refused || d.Err.Reason != verdict.TargetDoubtful {
		t.Fatalf("with %d probes that hang: %+v, want refused", slots-1, d)
	}
}

// Guards against a breaker that trips on a single slow run from the tail of the latency distribution, and against one that
// never trips on a single run that hangs.
func TestSingleOverdueRunTripsBreakerLate(t *testing.T) {
	p, now := newReadyPoint(t, DefaultLimits(), 3)
	now = establishBaseline(t, p, now)
	p.Admit(now, routeRequest(now, 1, "/r", false))
	if events := p.Expire(now + 300*time.Millisecond); len(events) != 0 {
		t.Fatalf("after 3 times the baseline latency: events %+v, want none", events)
	}
	events := p.Expire(now + 400*time.Millisecond)
	if len(events) != 1 || events[0].Kind != EventBreakerTripped {
		t.Fatalf("after 4 times the baseline latency: events %+v, want a tripped breaker", events)
	}
}

// Guards against tripping the breakers of all targets of a service when each sheds a part of its requests, which would limit
// the service to probes, and against a closed breaker of a target that sheds everything.
func TestShedsAreWeakEvidence(t *testing.T) {
	p, now := newReadyPoint(t, DefaultLimits(), 3)
	serial := uint64(0)
	run := func(result Result) {
		t.Helper()
		serial++
		now = serve(t, p, now, routeRequest(now, serial, "/r", false), time.Millisecond, result)
	}
	shed := Result{Outcome: Shed, Failed: true}
	for range 20 {
		run(shed)
		run(Result{Outcome: Answered})
		run(shed)
		run(shed)
		run(Result{Outcome: Answered})
	}
	for range shedThreshold {
		run(shed)
	}
	serial++
	if d := p.Admit(now, routeRequest(now, serial, "/r", false)); d.Kind != Refused || d.Err.Reason != verdict.TargetDoubtful {
		t.Fatalf("after %d sheds in a row: %+v, want refused", shedThreshold, d)
	}
}

// Guards against using a request without retries left as a probe.
func TestLastAttemptIsNoProbe(t *testing.T) {
	p, now := newReadyPoint(t, DefaultLimits(), 3)
	now = serve(t, p, now, routeRequest(now, 1, "/r", true), time.Millisecond, Result{Outcome: Lost, Failed: true})
	last := routeRequest(now, 2, "/r", true)
	last.RequireClosedBreaker = true
	if d := p.Admit(now, last); d.Kind != Refused || d.Err.Reason != verdict.TargetDoubtful {
		t.Fatalf("last attempt at a half-open breaker: %+v", d)
	}
	last = routeRequest(now, 3, "/r", false)
	last.LastResort = true
	if d := p.Admit(now, last); d.Kind != Admitted {
		t.Fatalf("last resort at a half-open breaker: %+v", d)
	}
}

// Guards against a breaker that trips on a single response with a failure status, which may be due to a failed call of the
// upstream, and against one that stays closed after two in a row.
func TestSecondFailureStatusTripsBreaker(t *testing.T) {
	p, now := newReadyPoint(t, DefaultLimits(), 3)
	failure := Result{Outcome: Answered, Failed: true}
	now = serve(t, p, now, routeRequest(now, 1, "/r", true), time.Millisecond, failure)
	now = serve(t, p, now, routeRequest(now, 2, "/r", false), time.Millisecond, Result{Outcome: Answered})
	now = serve(t, p, now, routeRequest(now, 3, "/r", true), time.Millisecond, failure)
	now = serve(t, p, now, routeRequest(now, 4, "/r", false), time.Millisecond, failure)
	if d := p.Admit(now, routeRequest(now, 5, "/r", false)); d.Kind != Refused || d.Err.Reason != verdict.TargetDoubtful {
		t.Fatalf("after two failures in a row: %+v", d)
	}
}

// Guards against more requests lost at a target that fails at once, and against a breaker that trips on a failure after the
// usual run time, which a failed call of the upstream or the request itself may explain.
func TestQuickFailureTripsBreaker(t *testing.T) {
	for run, want := range map[time.Duration]Kind{2 * time.Millisecond: Refused, 90 * time.Millisecond: Admitted} {
		p, now := newReadyPoint(t, DefaultLimits(), 3)
		now = establishBaseline(t, p, now)
		now = serve(t, p, now, routeRequest(now, 1, "/r", false), run, Result{Outcome: Answered, Failed: true})
		if d := p.Admit(now, routeRequest(now, 2, "/r", false)); d.Kind != want {
			t.Errorf("after a failure within %v at a baseline latency of 100 ms: %+v, want kind %v", run, d, want)
		}
	}
}

// Guards against queued requests that wait at a target that hangs until their deadline passes.
func TestTrippedBreakerRefusesQueuedRequests(t *testing.T) {
	p, now := newReadyPoint(t, DefaultLimits(), 2)
	now = establishBaseline(t, p, now)
	p.Admit(now, routeRequest(now, 1, "/r", false))
	p.Admit(now, routeRequest(now, 3, "/r", false))
	waiting := routeRequest(now, 2, "/r", false)
	if d := p.Admit(now, waiting); d.Kind != Queued {
		t.Fatalf("second request: %+v, want queued", d)
	}
	refused := false
	for _, e := range p.Expire(now + 300*time.Millisecond) {
		refused = refused || e.Kind == EventRefused && e.Attempt == waiting.Attempt && e.Err.Reason == verdict.TargetDoubtful
	}
	if !refused {
		t.Fatal("the queued request stays at the target with the half-open breaker")
	}
}

// Guards against a queue so long that every response is late, and against refusing short requests as well, for which runs at
// other targets wait.
func TestQueueIsBoundedByLatencyObjective(t *testing.T) {
	p, now := newReadyPoint(t, DefaultLimits(), 1)
	for serial := range uint64(4 * minBaselineRuns) {
		now = serve(t, p, now, routeRequest(now, 100+serial, "/long", true), 400*time.Millisecond, Result{Outcome: Answered})
	}
	for serial := range uint64(minBaselineRuns) {
		now = serve(t, p, now, routeRequest(now, 200+serial, "/short", true), 10*time.Millisecond, Result{Outcome: Answered})
		now = serve(t, p, now, routeRequest(now, 300+serial, "/long", true), 400*time.Millisecond, Result{Outcome: Answered})
	}
	p.Admit(now, routeRequest(now, 1, "/long", false))
	kinds := []Kind{Queued, Refused}
	for i, want := range kinds {
		if d := p.Admit(now, routeRequest(now, uint64(2+i), "/long", false)); d.Kind != want {
			t.Errorf("long request %d behind one that runs: %+v, want %v", i, d, want)
		}
	}
	short := routeRequest(now, 9, "/short", true)
	short.Objective, short.ObjectiveRemaining = 50*time.Millisecond, 50*time.Millisecond
	if d := p.Admit(now, short); d.Kind != Queued {
		t.Errorf("short request: %+v, want queued", d)
	}
	grants := p.Finish(now+400*time.Millisecond, model.NewAttemptID("n", 1, 1), Result{Outcome: Answered})
	if len(grants) != 1 || grants[0].Attempt != short.Attempt {
		t.Errorf("grants %v, want the short request", grants)
	}
}

// Guards against granting a slot to a request of lower priority before one of higher priority.
func TestRankOrdersTheQueue(t *testing.T) {
	p, now := newReadyPoint(t, DefaultLimits(), 1)
	p.Admit(now, routeRequest(now, 1, "/r", true))
	for serial, rank := range map[uint64]int{2: 2, 3: 0, 4: 1} {
		r := routeRequest(now, serial, "/r", true)
		r.Rank = rank
		if d := p.Admit(now, r); d.Kind != Queued {
			t.Fatalf("rank %d: %+v", rank, d)
		}
	}
	for _, want := range []uint64{3, 4, 2} {
		running := p.InFlightOf(p.Targets(now)[0].ID)[0].Attempt
		grants := p.Finish(now, running, Result{Outcome: Answered})
		if len(grants) != 1 || grants[0].Attempt != model.NewAttemptID("n", 1, want) {
			t.Fatalf("grants %v, want request %d", grants, want)
		}
	}
}

// Guards against a delayed or duplicate heartbeat that registers a deregistered target again, and against an old heartbeat
// that replaces the target that now has the address.
func TestLateAnnouncements(t *testing.T) {
	p := NewPoint(DefaultLimits(), testIncarnation)
	announce := func(id model.TargetID, startTimeMS int64, sequence uint64, phase model.Phase) {
		t.Helper()
		err := p.Announce(0, Announcement{
			Service: testService, Target: id, Address: "127.0.0.1:1", Slots: 1, Phase: phase, StartTimeMS: startTimeMS, Sequence: sequence,
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	phase := func(id model.TargetID) model.Phase {
		target, ok := p.Target(0, id)
		if !ok {
			return model.PhaseLeaving
		}
		return target.Phase
	}
	announce("a", 10, 5, model.PhaseReady)
	announce("a", 10, 6, model.PhaseDraining)
	announce("a", 10, 5, model.PhaseReady)
	if got := phase("a"); got != model.PhaseDraining {
		t.Errorf("after a late announcement: %v, want draining", got)
	}
	p.Deregister(0, "a", 0, 20)
	announce("a", 10, 6, model.PhaseReady)
	announce("a", 10, 7, model.PhaseReady)
	if got := phase("a"); got != model.PhaseLeaving {
		t.Errorf("after deregistration: %v, want leaving", got)
	}
	announce("a", 11, 1, model.PhaseReady)
	if got := phase("a"); got != model.PhaseReady {
		t.Errorf("after a restart: %v, want ready", got)
	}
	announce("b", 12, 1, model.PhaseReady)
	announce("a", 11, 2, model.PhaseReady)
	if _, ok := p.Target(0, "a"); ok || phase("b") != model.PhaseReady {
		t.Error("an old announcement has replaced the target that now has the address")
	}
}

// Guards against a stopping node that leaves its targets idle during the grace period, and against admitting requests that
// cannot end before the node stops, directly or from the queue.
func TestStoppingNodeAdmitsWhatEndsInTime(t *testing.T) {
	p, now := newReadyPoint(t, DefaultLimits(), 1)
	now = establishBaseline(t, p, now)
	running, waiting := routeRequest(now, 1, "/r", false), routeRequest(now, 2, "/r", false)
	p.Admit(now, running)
	p.Admit(now, waiting)
	p.SetShutdownDeadline(now + 250*time.Millisecond)
	if grants := p.Finish(now, running.Attempt, Result{Outcome: Answered}); len(grants) != 1 {
		t.Fatalf("grants %v, want the queued request: twice its baseline latency of 100 ms remains", grants)
	}
	p.Admit(now, routeRequest(now, 3, "/r", false))
	now += 100 * time.Millisecond
	if grants := p.Finish(now, waiting.Attempt, Result{Outcome: Answered}); len(grants) != 0 {
		t.Errorf("grants %v, want none 150 ms before the shutdown deadline", grants)
	}
	events := p.Events()
	if len(events) != 1 || events[0].Kind != EventRefused || events[0].Err.Reason != verdict.NodeStopping {
		t.Errorf("events %+v, want the queued request refused", events)
	}
	if d := p.Admit(now, routeRequest(now, 4, "/r", false)); d.Kind != Refused || d.Err.Reason != verdict.NodeStopping {
		t.Errorf("a new request: %+v, want refused", d)
	}
}
