package node

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
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
