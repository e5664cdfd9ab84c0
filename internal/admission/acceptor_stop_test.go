package admission

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// usualRun is the baseline run time of the route in these tests.
const usualRun = time.Second

// newUsedPoint returns a point whose target has one slot, and a baseline for the route of testRequest.
func newUsedPoint(t *testing.T) (p *Point, now time.Duration, serial uint64) {
	t.Helper()
	p, now = newReadyPoint(t, DefaultLimits(), 1)
	for range minBaselineRuns {
		serial++
		r := testRequest(now, serial, 10*time.Second)
		if d := p.Admit(now, r); d.Kind != Admitted {
			t.Fatalf("request %d: %+v, want admitted", serial, d)
		}
		now += usualRun
		p.Finish(now, r.Attempt, Result{Outcome: Answered})
		announceReady(t, p, now, 1)
	}
	return p, now, serial
}

// Guards against a run that its accepting node cuts off, because only the deadline of the caller was compared with its usual time.
func TestRunThatOutlastsItsAcceptingNodeDoesNotStart(t *testing.T) {
	for name, c := range map[string]struct {
		idempotent bool
		within     time.Duration
		want       verdict.Reason
	}{
		"idempotent, too late":     {true, usualRun * 9 / 10, verdict.AcceptorStopping},
		"idempotent, in time":      {true, usualRun * 11 / 10, ""},
		"not idempotent, too late": {false, usualRun * 19 / 10, verdict.AcceptorStopping},
		"not idempotent, in time":  {false, usualRun * 21 / 10, ""},
	} {
		p, now, serial := newUsedPoint(t)
		r := testRequest(now, serial+1, 10*time.Second)
		r.Idempotent, r.AnswerBy = c.idempotent, now+c.within
		d := p.Admit(now, r)
		if got := reasonOf(d); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

func reasonOf(d Decision) verdict.Reason {
	if d.Err == nil {
		return ""
	}
	return d.Err.Reason
}

// Guards against refusing a request of a stopping node for a run time that is only assumed from the objective of its route.
func TestRouteWithoutRunsIsNotRefusedToAStoppingNode(t *testing.T) {
	p, now := newReadyPoint(t, DefaultLimits(), 1)
	r := testRequest(now, 1, 10*time.Second)
	r.Objective, r.AnswerBy = time.Minute, now+time.Second
	if d := p.Admit(now, r); d.Kind != Admitted {
		t.Errorf("decision %+v, want admitted", d)
	}
}

// Guards against a queue that gives a slot to a request whose accepting node stops before the run ends.
func TestQueueRefusesRequestOfStoppingNodeWhenItsRunNoLongerFits(t *testing.T) {
	p, now, serial := newUsedPoint(t)
	running, queued := testRequest(now, serial+1, 10*time.Second), testRequest(now, serial+2, 10*time.Second)
	p.Admit(now, running)
	queued.AnswerBy = now + 4*time.Second
	if d := p.Admit(now, queued); d.Kind != Queued {
		t.Fatalf("decision %+v, want queued", d)
	}
	now += 2100 * time.Millisecond
	announceReady(t, p, now, 1)
	checkRefusal(t, p.Expire(now), queued.Attempt, verdict.QueueDeadline)
}

// Guards against a queue that does not learn that the accepting node of a request stops.
func TestNoticeOfStoppingNodeAppliesToQueuedRequests(t *testing.T) {
	p, now, serial := newUsedPoint(t)
	running, queued := testRequest(now, serial+1, 10*time.Second), testRequest(now, serial+2, 10*time.Second)
	other := testRequest(now, serial+3, 10*time.Second)
	other.Attempt = model.NewAttemptID("other", 1, 1)
	for _, r := range []Request{running, queued, other} {
		p.Admit(now, r)
	}
	p.AcceptorStops(now, "n", 2, now+usualRun)
	p.AcceptorStops(now, "n", 1, now+5*usualRun)
	if events := p.Events(); len(events) != 0 {
		t.Fatalf("notices of another incarnation and of enough time: %+v", events)
	}
	p.AcceptorStops(now, "n", 1, now+usualRun)
	checkRefusal(t, p.Events(), queued.Attempt, verdict.AcceptorStopping)
}

// Guards against an attempt that was sent before the notice of its stopping node and arrives after it.
func TestNoticeOfStoppingNodeAppliesToLaterArrivals(t *testing.T) {
	p, now, serial := newUsedPoint(t)
	p.AcceptorStops(now, "n", 1, now+usualRun/2)
	if d := p.Admit(now, testRequest(now, serial+1, 10*time.Second)); reasonOf(d) != verdict.AcceptorStopping {
		t.Errorf("decision %+v, want %s", d, verdict.AcceptorStopping)
	}
	later := testRequest(now, serial+2, 10*time.Second)
	later.Attempt = model.NewAttemptID("n", 2, 1)
	if d := p.Admit(now, later); d.Kind != Admitted {
		t.Errorf("attempt of the next incarnation: %+v, want admitted", d)
	}
}

// Guards against a queue in which a request without another chance waits behind those of its rank.
func TestRepeatOfCutRunGoesFirstWithinItsRank(t *testing.T) {
	p, now, serial := newUsedPoint(t)
	running, other, cut := testRequest(now, serial+1, 10*time.Second), testRequest(now, serial+2, 10*time.Second), testRequest(now, serial+3, 10*time.Second)
	cut.ReplacesCutRun = true
	for _, r := range []Request{running, other, cut} {
		p.Admit(now, r)
	}
	if grants := p.Finish(now, running.Attempt, Result{Outcome: Answered}); len(grants) != 1 || grants[0].Attempt != cut.Attempt {
		t.Errorf("grants %+v, want the repeat of the cut run", grants)
	}
}

// checkRefusal checks that the only event is the refusal of the attempt for the reason.
func checkRefusal(t *testing.T, events []Event, attempt model.AttemptID, reason verdict.Reason) {
	t.Helper()
	if len(events) != 1 || events[0].Kind != EventRefused || events[0].Attempt != attempt || events[0].Err.Reason != reason {
		t.Fatalf("events %+v, want the refusal of %s: %s", events, attempt, reason)
	}
}

// Guards against giving up a request whose run is cut off because its latency objective is missed, while its caller waits.
func TestRepeatOfCutRunWaitsWhileItsRunFits(t *testing.T) {
	for _, c := range []struct {
		replacesCutRun bool
		timeout        time.Duration
		want           Kind
	}{
		{false, 10 * time.Second, Refused},
		{true, 10 * time.Second, Queued},
		{true, usualRun * 3 / 2, Refused},
	} {
		p, now, serial := newUsedPoint(t)
		p.Admit(now, testRequest(now, serial+1, 10*time.Second))
		r := testRequest(now, serial+2, c.timeout)
		r.Objective, r.ReplacesCutRun = usualRun, c.replacesCutRun
		if d := p.Admit(now, r); d.Kind != c.want {
			t.Errorf("%+v: decision %+v", c, d)
		}
	}
}
