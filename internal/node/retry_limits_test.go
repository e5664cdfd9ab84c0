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

// admittedRetries returns how many of 100 retries at the same time are admitted.
func admittedRetries(r *retryWindows, now time.Duration) int {
	count := 0
	for range 100 {
		if r.admit(now, &peerv1.ForwardHead{Service: "s", Repeat: true}) == nil {
			count++
		}
	}
	return count
}

// Guards against admission points that together allow more retries than the budget of the service. The budget must hold
// also after all of them have restarted and have neither the other targets nor the counts from before the restart.
func TestAdmissionPointsShareTheRetryBudget(t *testing.T) {
	const (
		targets = 8
		extra   = 60
	)
	limits := settings.Retries{Share: 0.2, WindowExtra: extra}
	total := 0
	for range targets {
		before := newRetryWindows(limits)
		before.targetsOf = func(model.ServiceName) int { return targets }
		total += admittedRetries(before, time.Hour)
		// The restarted process has not received the other targets yet.
		after := newRetryWindows(limits)
		after.targetsOf = func(model.ServiceName) int { return 0 }
		total += admittedRetries(after, time.Second)
	}
	if total > extra {
		t.Errorf("%d retries, want at most %d", total, extra)
	}
}

// Guards against refusing first attempts because of the budget, and against refused retries that are not reported as
// not-run.
func TestFirstAttemptsAllowRetries(t *testing.T) {
	r := newRetryWindows(settings.Retries{Share: 0.2, WindowExtra: 10})
	first := &peerv1.ForwardHead{Service: "s"}
	for range 100 {
		if err := r.admit(time.Hour, first); err != nil {
			t.Fatalf("first attempt: %v", err)
		}
	}
	if got := admittedRetries(r, time.Hour); got != 19 {
		t.Errorf("%d retries after 100 first attempts, want 18 and 1 of the extra", got)
	}
	err := r.admit(time.Hour, &peerv1.ForwardHead{Service: "s", Repeat: true})
	if err == nil || err.Verdict != verdict.NotRun || err.Reason != verdict.RepeatsSpent {
		t.Errorf("one more: %v, want not-run", err)
	}
}

// Guards against counting nested requests of retries as first attempts, which would allow further retries: they count
// as retries at the called service. Also guards against refusing them, which would waste the run of the retry.
func TestNestedRequestsOfRetriesCountAsRetries(t *testing.T) {
	a := newAdmitter(newClock(), 1, admission.DefaultLimits(), nil, nil)
	a.track(&peerv1.ForwardHead{Attempt: "n.1.1", RequestId: "first"}, nil)
	a.track(&peerv1.ForwardHead{Attempt: "n.1.2", RequestId: "again", Repeat: true}, nil)
	acceptor := &acceptor{admitter: a, dialect: dialect.Caller{CallSeparator: "."}}
	for id, want := range map[string]bool{"again.1": true, "first.1": false, "again": false, "other.1": false} {
		if got := a.isRetryRunning(acceptor.parentID(id)); got != want {
			t.Errorf("request %s: nested request of a retry %v, want %v", id, got, want)
		}
	}
	r := newRetryWindows(settings.Retries{Share: 0.2, WindowExtra: 60})
	before := admittedRetries(newRetryWindows(r.limits), time.Hour)
	for range before {
		if err := r.admit(time.Hour, &peerv1.ForwardHead{Service: "s", OfRepeat: true}); err != nil {
			t.Fatalf("nested request of a retry: %v", err)
		}
	}
	if got := admittedRetries(r, time.Hour); got != 0 {
		t.Errorf("%d retries in addition to the nested requests, want 0", got)
	}
}

// Guards against keeping a retry that the budget refused in the quarantine's list of running requests: a later loss of
// the target would be attributed to a request that was never sent to it.
func TestRefusedRetryIsNotInFlight(t *testing.T) {
	c := newClock()
	quarantined := newCrashTracker(c, model.Node{ID: "n1", Incarnation: 1}, nil, events.New(discardLog{}, time.Now))
	a := newAdmitter(c, 1, admission.DefaultLimits(), nil, quarantined)
	a.retryWindows = newRetryWindows(settings.Retries{Share: 0.2, WindowExtra: 1})
	head := &peerv1.ForwardHead{Service: "s", Target: "t1", Fingerprint: 7, Repeat: true}
	if err := a.begin(head); err == nil || err.Reason != verdict.RepeatsSpent {
		t.Fatalf("retry without a budget: %v, want a refusal", err)
	}
	if running := quarantined.table.Running("t1"); running != 0 {
		t.Errorf("%d requests recorded as running, want none", running)
	}
}
