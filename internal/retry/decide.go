// Package retry decides whether the accepting node makes another attempt for a request. It is a function of its inputs:
// it reads no clock and uses no random source but the one that it is given.
package retry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

const (
	// DefaultMaxAttempts is the number of attempts of a request, hops not counted.
	DefaultMaxAttempts = 3
	// MaxHops is the number of targets that a request goes on to without backoff after refusals by admission points. It is
	// above what the package placement asks, so that a fault there cannot make a request go round for ever.
	MaxHops = 24
	// MaxWaits is the number of pauses after rounds in which every target refused the request. A second round finds what
	// has changed meanwhile; more would hold what cannot be served.
	MaxWaits = 1
	// MinAttemptTime is the least time that has to remain for another attempt.
	MinAttemptTime = 10 * time.Millisecond
)

// Decide returns whether and when to make another attempt. It draws on the budget only if the answer is yes. The budget
// is that of the request's service, nil if the admission points keep it.
func Decide(in Input, budget *Budget, now time.Duration, rng *rand.Rand) Decision {
	reason := failureOf(&in)
	if reason == "" {
		return Decision{}
	}
	if !mayRepeat(&in) {
		return Decision{Reason: reason}
	}
	if in.Remaining < MinAttemptTime {
		return Decision{Reason: verdict.DeadlineExceeded}
	}
	if mayHop(&in) {
		return Decision{Retry: true, Reason: reason, Hop: true, SameTarget: sameTarget(&in)}
	}
	if wasOnlyRefused(&in) {
		return pause(&in, reason, rng)
	}
	return backOff(&in, reason, budget, now, rng)
}

// wasOnlyRefused reports whether no target has taken the request in this round.
func wasOnlyRefused(in *Input) bool {
	if in.Err == nil || in.Err.Verdict != verdict.NotRun {
		return false
	}
	return isAdmissionRefusal(in.Err.Reason) || in.Err.Reason == verdict.NoTarget
}

// pause offers the request again a little later. Nothing was sent, so that it is neither an attempt nor in the budget.
func pause(in *Input, reason verdict.Reason, rng *rand.Rand) Decision {
	if in.Waits >= MaxWaits || in.Saturated {
		return Decision{Reason: reason}
	}
	after := Backoff(in.Waits+1, retryAfter(in), rng)
	if after+MinAttemptTime > in.Remaining {
		return Decision{Reason: verdict.DeadlineExceeded}
	}
	return Decision{Retry: true, After: after, Reason: reason, Waits: true}
}

func backOff(in *Input, reason verdict.Reason, budget *Budget, now time.Duration, rng *rand.Rand) Decision {
	if in.Attempt >= maxAttempts(in) {
		return Decision{Reason: verdict.RetryAttempts}
	}
	after := Backoff(in.Attempt, retryAfter(in), rng)
	if after+MinAttemptTime > in.Remaining {
		return Decision{Reason: verdict.DeadlineExceeded}
	}
	if budget != nil && !budget.Take(now) {
		return Decision{Reason: verdict.RetryBudget}
	}
	return Decision{Retry: true, After: after, Reason: reason}
}

// failureOf returns why the attempt failed, "" if its answer stands.
func failureOf(in *Input) verdict.Reason {
	if in.Err != nil {
		return in.Err.Reason
	}
	if slices.Contains(in.RetryStatuses, in.Status) {
		return verdict.UpstreamStatus
	}
	return ""
}

// mayRepeat reports whether another attempt is safe and can do better. A request of an unknown class counts as
// non-idempotent, an unknown verdict as may-have-run.
func mayRepeat(in *Input) bool {
	if in.Err == nil {
		return in.Class == declaration.Idempotent
	}
	if in.Err.Verdict != verdict.NotRun && in.Class != declaration.Idempotent {
		return false
	}
	return isAdmissionRefusal(in.Err.Reason) || isTransient(in.Err.Reason)
}

// mayHop reports whether the next target is tried without backoff.
func mayHop(in *Input) bool {
	if in.Err == nil || in.Err.Verdict != verdict.NotRun || !isAdmissionRefusal(in.Err.Reason) {
		return false
	}
	if in.Hops < 1 || in.Hops > MaxHops {
		return false
	}
	return in.Untried > 0 || sameTarget(in)
}

// sameTarget reports whether the refusal only says that the accepting node's view of the admitting node was old.
func sameTarget(in *Input) bool {
	if in.Hops > 1 {
		return false
	}
	return in.Err.Reason == verdict.AdmitExpired || in.Err.Reason == verdict.WrongIncarnation
}

// isAdmissionRefusal reports whether the request went no further than an admission point, or a connection that could not
// be opened. Such a refusal costs a message and no work.
func isAdmissionRefusal(reason verdict.Reason) bool {
	switch reason {
	case verdict.SlotsFull, verdict.QueueDeadline, verdict.TargetDraining, verdict.TargetStarting, verdict.TargetOnTrial, verdict.TargetDoubtful, verdict.RepeatsSpent,
		verdict.TargetUnknown, verdict.AttemptFenced, verdict.AdmitExpired, verdict.WrongIncarnation, verdict.NodeStopping,
		verdict.UpstreamUnreachable, verdict.NodeUnreachable:
		return true
	}
	return false
}

// isTransient reports whether the failure may be different at another target or a little later.
func isTransient(reason verdict.Reason) bool {
	switch reason {
	case verdict.UpstreamShed, verdict.NoTarget,
		verdict.UpstreamLost, verdict.UpstreamTimeout, verdict.NodeLost, verdict.AnswerIncomplete, verdict.AnswerDropped,
		verdict.AttemptDuplicate:
		return true
	}
	return false
}

func maxAttempts(in *Input) int {
	if in.MaxAttempts > 0 {
		return in.MaxAttempts
	}
	return DefaultMaxAttempts
}

// retryAfter returns the least time to wait that the refusing side gave.
func retryAfter(in *Input) time.Duration {
	if in.Err == nil {
		return in.RetryAfter
	}
	return max(in.RetryAfter, in.Err.RetryAfter)
}
