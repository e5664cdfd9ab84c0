package node

import (
	"context"
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
	return admittedOf(r, now, &peerv1.ForwardHead{Service: "s", Repeat: true})
}

// admittedOf returns how many of 100 attempts with the head are admitted at the same time.
func admittedOf(r *retryWindows, now time.Duration, head *peerv1.ForwardHead) int {
	count := 0
	for range 100 {
		if r.admit(now, head) == nil {
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
		total += admittedRetries(before, time.Hour) + admittedOf(before, time.Hour, cutRunRepeat)
		// The restarted process has not received the other targets yet.
		after := newRetryWindows(limits)
		after.targetsOf = func(model.ServiceName) int { return 0 }
		total += admittedRetries(after, time.Second) + admittedOf(after, time.Second, cutRunRepeat)
	}
	if total > extra {
		t.Errorf("%d retries, want at most %d", total, extra)
	}
}

// cutRunRepeat is the head of a repeat of a run that the stop of a node cuts off.
var cutRunRepeat = &peerv1.ForwardHead{Service: "s", Repeat: true, ReplacesCutRun: true}

// Guards against a request whose run is cut off by a stop and that is refused because other repeats have spent the budget.
func TestBudgetIsReservedForRunsThatAreCutOff(t *testing.T) {
	for name, now := range map[string]time.Duration{"after the start": time.Second, "later": time.Hour} {
		r := newRetryWindows(settings.Retries{Share: 0.2, WindowExtra: 60})
		r.targetsOf = func(model.ServiceName) int { return 8 }
		admittedRetries(r, now)
		if got := admittedOf(r, now, cutRunRepeat); got != 1 {
			t.Errorf("%s: %d repeats of cut runs beyond the spent budget, want 1", name, got)
		}
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

// Guards against a repeat that waits for a slot which the budget does not let it use.
func TestRepeatBeyondTheBudgetDoesNotWaitForASlot(t *testing.T) {
	a := newAdmitter(newClock(), 1, admission.DefaultLimits(), nil, nil)
	a.retryWindows = newRetryWindows(settings.Retries{Share: 0.2, WindowExtra: 0.1})
	if _, err := a.announce(admission.Announcement{Service: "s", Target: "t", Address: "127.0.0.1:1", Slots: 1, Phase: model.PhaseReady}); err != nil {
		t.Fatal(err)
	}
	head := func(serial uint64, repeat bool) *peerv1.ForwardHead {
		return &peerv1.ForwardHead{
			Attempt: string(model.NewAttemptID("n", 1, serial)), Service: "s", Target: "t", Incarnation: 1, Idempotent: true, Repeat: repeat,
			AdmitBeforeMs: maxLocalAdmitAhead.Milliseconds(),
		}
	}
	limits := runLimits{deadline: a.clock.now() + time.Minute}
	if _, refusal := a.admit(t.Context(), head(1, false), limits); refusal != nil {
		t.Fatal(refusal)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, refusal := a.admit(ctx, head(2, true), limits); refusal == nil || refusal.Reason != verdict.RepeatsSpent {
		t.Errorf("%v, want %s at once", refusal, verdict.RepeatsSpent)
	}
}

// Guards against a reserve for cut runs with which admission points exceed the budget, also right after all of them have restarted
// and have received the other targets.
func TestReserveForCutRunsKeepsTheBudget(t *testing.T) {
	for _, extra := range []float64{60, 64, 156, 182, 218} {
		for _, targets := range []int{2, 6, 8, 11, 24, 30, 46} {
			total := 0
			for range targets {
				for _, now := range []time.Duration{time.Hour, time.Second} {
					r := newRetryWindows(settings.Retries{Share: 0.2, WindowExtra: extra})
					r.targetsOf = func(model.ServiceName) int { return targets }
					total += admittedOf(r, now, cutRunRepeat)
				}
			}
			if total > int(extra) {
				t.Errorf("%d repeats at %d targets, want at most %.0f", total, targets, extra)
			}
		}
	}
}
