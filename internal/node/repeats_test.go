package node

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/dialect"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/settings"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// taken returns how many of many repeats at one moment are sent to the target.
func taken(r *repeats, now time.Duration) int {
	count := 0
	for range 100 {
		if r.take(now, &peerv1.ForwardHead{Service: "s", Repeat: true}) == nil {
			count++
		}
	}
	return count
}

// Guards against admission points that together give out more repeats than the service may get, also after they were all
// restarted and know neither each other nor what was given out before.
func TestAdmissionPointsShareTheRepeats(t *testing.T) {
	const (
		targets = 8
		extra   = 60
	)
	limits := settings.Retries{Share: 0.2, WindowExtra: extra}
	total := 0
	for range targets {
		before := newRepeats(limits)
		before.targetsOf = func(model.ServiceName) int { return targets }
		total += taken(before, time.Hour)
		// The restarted process does not know the other targets yet.
		after := newRepeats(limits)
		after.targetsOf = func(model.ServiceName) int { return 0 }
		total += taken(after, time.Second)
	}
	if total > extra {
		t.Errorf("%d repeats, want at most %d", total, extra)
	}
}

// Guards against first attempts that are refused for the sake of the budget, and against repeats that are told to have run.
func TestRepeatsEarnedByFirstAttempts(t *testing.T) {
	r := newRepeats(settings.Retries{Share: 0.2, WindowExtra: 10})
	first := &peerv1.ForwardHead{Service: "s"}
	for range 100 {
		if err := r.take(time.Hour, first); err != nil {
			t.Fatalf("first attempt: %v", err)
		}
	}
	if got := taken(r, time.Hour); got != 19 {
		t.Errorf("%d repeats after 100 first attempts, want 18 and 1 of the extra", got)
	}
	err := r.take(time.Hour, &peerv1.ForwardHead{Service: "s", Repeat: true})
	if err == nil || err.Verdict != verdict.NotRun || err.Reason != verdict.RepeatsSpent {
		t.Errorf("one more: %v, want not-run", err)
	}
}

// Guards against the calls of repeated runs, which count as repeats at the service that is called, being counted as first
// attempts that earn repeats, or being refused, which would waste the run.
func TestCallsOfRepeatedRunsCountAsRepeats(t *testing.T) {
	a := newAdmitter(newClock(), 1, admission.DefaultLimits(), nil, nil)
	a.track(&peerv1.ForwardHead{Attempt: "n.1.1", RequestId: "first"}, nil)
	a.track(&peerv1.ForwardHead{Attempt: "n.1.2", RequestId: "again", Repeat: true}, nil)
	acceptor := &acceptor{admitter: a, dialect: dialect.Caller{CallSeparator: "."}}
	for id, want := range map[string]bool{"again.1": true, "first.1": false, "again": false, "other.1": false} {
		if got := a.isRetryRunning(acceptor.parentID(id)); got != want {
			t.Errorf("request %s: of a repeat %v, want %v", id, got, want)
		}
	}
	r := newRepeats(settings.Retries{Share: 0.2, WindowExtra: 60})
	before := taken(newRepeats(r.limits), time.Hour)
	for range before {
		if err := r.take(time.Hour, &peerv1.ForwardHead{Service: "s", OfRepeat: true}); err != nil {
			t.Fatalf("call of a repeated run: %v", err)
		}
	}
	if got := taken(r, time.Hour); got != 0 {
		t.Errorf("%d repeats beside the calls, want 0", got)
	}
}

// Guards against a repeat that the budget refuses staying noted as running, so that a later loss of the target would be
// attributed to a request that was never sent to it.
func TestRefusedRepeatIsNotInFlight(t *testing.T) {
	c := newClock()
	quarantined := newCrashTracker(c, model.Node{ID: "n1", Incarnation: 1}, nil, events.New(discardLog{}, time.Now))
	a := newAdmitter(c, 1, admission.DefaultLimits(), nil, quarantined)
	a.retryWindows = newRepeats(settings.Retries{Share: 0.2, WindowExtra: 1})
	head := &peerv1.ForwardHead{Service: "s", Target: "t1", Fingerprint: 7, Repeat: true}
	if err := a.begin(head); err == nil || err.Reason != verdict.RepeatsSpent {
		t.Fatalf("repeat without a budget: %v, want it refused", err)
	}
	if running := quarantined.table.Running("t1"); running != 0 {
		t.Errorf("%d requests are noted as running, want none", running)
	}
}
