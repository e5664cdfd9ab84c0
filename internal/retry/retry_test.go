package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// drawInput draws an arbitrary request whose attempt has just ended.
func drawInput(t *rapid.T) Input {
	in := Input{
		Class:         rapid.SampledFrom([]declaration.Class{declaration.Idempotent, declaration.NonIdempotent, ""}).Draw(t, "class"),
		Attempt:       rapid.IntRange(1, 4).Draw(t, "attempt"),
		Refusals:      rapid.IntRange(0, MaxRefusals+2).Draw(t, "refusals"),
		Saturated:     rapid.Bool().Draw(t, "saturated"),
		CapacityWaits: rapid.IntRange(0, MaxCapacityWaits+1).Draw(t, "capacity waits"),
		Untried:       rapid.IntRange(0, 2).Draw(t, "untried"),
		RetryAfter:    time.Duration(rapid.IntRange(0, 2000).Draw(t, "retry after")) * time.Millisecond,
		Remaining:     time.Duration(rapid.IntRange(-10, 5000).Draw(t, "remaining")) * time.Millisecond,
		RetryStatuses: []int{503},
		RunWasCut:     rapid.Bool().Draw(t, "run was cut"),
		UsualRun:      time.Duration(rapid.IntRange(0, 2000).Draw(t, "usual run")) * time.Millisecond,
	}
	if rapid.Bool().Draw(t, "answered") {
		in.Status = rapid.SampledFrom([]int{200, 500, 503}).Draw(t, "status")
		return in
	}
	in.Err = &verdict.Error{
		Verdict:    rapid.SampledFrom([]verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Unknown}).Draw(t, "verdict"),
		Reason:     rapid.SampledFrom(verdict.Reasons()).Draw(t, "reason"),
		RetryAfter: time.Duration(rapid.IntRange(0, 2000).Draw(t, "error's retry after")) * time.Millisecond,
	}
	return in
}

// Guards against a non-idempotent request that is retried after it may have run, a delay below Retry-After or beyond the
// deadline, too many attempts, an unbounded number of refused targets, and a retry that exceeds the budget.
func TestDecideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		budget := NewBudget(BudgetLimits{MinPerSecond: float64(rapid.IntRange(0, 2).Draw(t, "budget"))}, 0)
		before := budget.Available(0)
		d := Decide(in, budget, 0, newRandom())
		taken := before - budget.Available(0)
		notRun := in.Err != nil && in.Err.Verdict == verdict.NotRun
		switch {
		case !d.Retry && taken != 0:
			t.Fatalf("%+v: %d tokens taken without a retry", d, taken)
		case !d.Retry:
			return
		case in.Class != declaration.Idempotent && !notRun:
			t.Fatalf("%+v: a request that may have run is retried", d)
		case in.Err == nil && in.Status != 503:
			t.Fatalf("%+v: a response with status %d is retried", d, in.Status)
		case d.After+MinAttemptTime > in.Remaining:
			t.Fatalf("%+v: the retry comes after the deadline in %v", d, in.Remaining)
		case d.TryNextTarget && (!notRun || in.Refusals > MaxRefusals || d.After != 0 || taken != 0 || in.Untried == 0 && !d.SameTarget):
			t.Fatalf("%+v: failover to the next target is not allowed", d)
		case d.WaitForCapacity && (d.TryNextTarget || !notRun || taken != 0):
			t.Fatalf("%+v: a wait for capacity is not allowed", d)
		case d.WaitForCapacity && !in.RunWasCut && (in.CapacityWaits >= MaxCapacityWaits || in.Saturated):
			t.Fatalf("%+v: one more wait for capacity is not allowed", d)
		case d.WaitForCapacity && in.RunWasCut && (d.After < CutRunWait || d.After+in.UsualRun > in.Remaining):
			t.Fatalf("%+v: a run of %v does not end in %v", d, in.UsualRun, in.Remaining)
		case !d.TryNextTarget && !d.WaitForCapacity && (taken != 1 || in.Attempt >= DefaultMaxAttempts):
			t.Fatalf("%+v: %d tokens taken after attempt %d", d, taken, in.Attempt)
		case !d.TryNextTarget && d.After < in.RetryAfter, !d.TryNextTarget && in.Err != nil && d.After < in.Err.RetryAfter:
			t.Fatalf("%+v: the delay is shorter than Retry-After", d)
		}
	})
}

// Guards against a reason that is classified as the wrong kind of failure.
func TestDecideByReason(t *testing.T) {
	refusals := map[verdict.Reason]bool{
		verdict.SlotsFull: true, verdict.QueueDeadline: true, verdict.TargetDraining: true, verdict.TargetStarting: true,
		verdict.TargetUnknown: true, verdict.AttemptFenced: true, verdict.AdmitExpired: true, verdict.WrongIncarnation: true,
		verdict.NodeStopping: true, verdict.TargetOnTrial: true, verdict.TargetDoubtful: true, verdict.UpstreamUnreachable: true,
		verdict.NodeUnreachable: true, verdict.RepeatsSpent: true, verdict.AcceptorStopping: true,
		verdict.AccessUnchecked: true,
	}
	retries := map[verdict.Reason]bool{
		verdict.UpstreamShed: true, verdict.NoTarget: true,
		verdict.UpstreamLost: true, verdict.UpstreamTimeout: true, verdict.NodeLost: true, verdict.AnswerIncomplete: true,
		verdict.AnswerDropped: true, verdict.AttemptDuplicate: true,
	}
	for _, reason := range verdict.Reasons() {
		in := Input{
			Class: declaration.Idempotent, Attempt: 1, Refusals: 1, Untried: 1, Remaining: time.Minute, Err: verdict.Refused(reason, nil),
		}
		d := Decide(in, NewBudget(DefaultBudgetLimits(), 0), 0, newRandom())
		if d.TryNextTarget != refusals[reason] || d.Retry != (refusals[reason] || retries[reason]) || d.Reason != reason {
			t.Errorf("%s: %+v, want next target %v, retry %v", reason, d, refusals[reason], retries[reason])
		}
	}
}

// Guards against a budget that amplifies an overload, that allows no retries for a service with little load, or that
// accumulates tokens without bound.
func TestBudgetIsAShareAndAMinimum(t *testing.T) {
	take := func(b *Budget, now time.Duration) (taken int) {
		for b.Take(now) {
			taken++
		}
		return taken
	}
	b := NewBudget(DefaultBudgetLimits(), 0)
	if got := take(b, 0); got != 3 {
		t.Errorf("at the start: %d retries, want 3", got)
	}
	var total int
	for ms := range 10_000 {
		now := time.Duration(ms) * time.Millisecond
		b.AddRequest(now)
		total += take(b, now)
	}
	if total < 1_020 || total > 1_035 {
		t.Errorf("10,000 requests in 10 s: %d retries, want 10%% and 3 a second", total)
	}
	if got := take(b, time.Hour); got != 3 {
		t.Errorf("after an hour without requests: %d retries, want 3", got)
	}
	for range 10_000 {
		b.AddRequest(time.Hour)
	}
	if got := take(b, time.Hour); got != defaultBurst {
		t.Errorf("after 10,000 requests without a retry: %d retries, want %d", got, defaultBurst)
	}
	b.SetMinimum(time.Hour, 0.5)
	if got := take(b, time.Hour+4*time.Second); got != 1 {
		t.Errorf("4 s with a minimum of 0.5/s: %d retries, want the burst of 1", got)
	}
	b.Available(time.Hour + 8*time.Second)
	if got := take(b, time.Minute); got != 1 {
		t.Errorf("with an earlier time: %d retries, want the 1 available token", got)
	}
}

// Guards against retries at the same time after the same failure or the same Retry-After.
func TestBackoffJitterIsUniform(t *testing.T) {
	rng := newRandom()
	const samples, parts = 10_000, 10
	for _, c := range []struct {
		attempt        int
		minimum, bound time.Duration
	}{
		{1, 0, BaseDelay}, {3, 0, 4 * BaseDelay}, {60, 0, MaxDelay}, {1, time.Millisecond, BaseDelay},
		{1, time.Second, time.Second / 2}, {60, time.Second, MaxDelay},
	} {
		var counts [parts]int
		for range samples {
			delay := Backoff(c.attempt, c.minimum, rng) - c.minimum
			if delay < 0 || delay >= c.bound {
				t.Fatalf("%+v: jitter of %v", c, delay)
			}
			counts[delay*parts/c.bound]++
		}
		for part, count := range counts {
			if count < samples/parts*8/10 || count > samples/parts*12/10 {
				t.Errorf("%+v: %d of %d delays in part %d of %d", c, count, samples, part, parts)
			}
		}
	}
}

// Guards against giving up a request whose run was cut off after one round of refusals, while its caller waits.
func TestRequestWhoseRunWasCutIsTriedWhileARunFits(t *testing.T) {
	in := Input{
		Class: declaration.Idempotent, Attempt: 2, Refusals: 1, Err: verdict.Refused(verdict.SlotsFull, nil),
		CapacityWaits: 10, Saturated: true, RunWasCut: true, UsualRun: time.Second, Remaining: 2 * time.Second,
	}
	if d := Decide(in, nil, 0, newRandom()); !d.WaitForCapacity {
		t.Errorf("2 s left for a run of 1 s: %+v, want a wait for capacity", d)
	}
	in.Remaining = time.Second
	if d := Decide(in, nil, 0, newRandom()); d.Retry {
		t.Errorf("1 s left for a run of 1 s: %+v, want no further round", d)
	}
}

// Guards against giving up a request whose run was cut off because a target shed it, or because the link is short of bytes.
func TestCutRunThatIsShedIsTriedAgain(t *testing.T) {
	for _, reason := range []verdict.Reason{verdict.UpstreamShed, verdict.LinkBudget} {
		in := Input{
			Class: declaration.Idempotent, Attempt: 2, MaxAttempts: 2, Refusals: 1, Err: verdict.Refused(reason, nil),
			RunWasCut: true, UsualRun: time.Second, Remaining: 8 * time.Second,
		}
		if d := Decide(in, nil, 0, newRandom()); !d.WaitForCapacity {
			t.Errorf("%s: %+v, want another round", reason, d)
		}
		in.RunWasCut = false
		if d := Decide(in, nil, 0, newRandom()); d.Retry {
			t.Errorf("%s of a request that was not cut: %+v, want the end", reason, d)
		}
	}
}
