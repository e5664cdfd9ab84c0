// Package retry decides whether the accepting node makes another attempt for a request. It reads no clock: the time and
// the random source are parameters.
package retry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

const (
	// DefaultMaxAttempts is the number of attempts of a request. Refusals by admission points do not count.
	DefaultMaxAttempts = 3
	// MaxRefusals bounds the refusals by admission points after which a request fails over to the next target without
	// backoff. It is above the number of targets that package placement returns, so that a fault there cannot make a
	// request loop forever.
	MaxRefusals = 24
	// MaxCapacityWaits is the number of waits after rounds in which every target refused the request. The second round
	// can use what has changed in the meantime. Further rounds would only delay requests that cannot be served.
	MaxCapacityWaits = 1
	// CutRunWait is the least wait between two rounds for a request whose run was cut off. Nodes that stop at the same time refuse
	// it until they have restarted.
	CutRunWait = 300 * time.Millisecond
	// MinAttemptTime is the minimum time that must remain for another attempt.
	MinAttemptTime = 10 * time.Millisecond
)

// Decide returns whether and when to make another attempt. It takes from the budget only if the result is a retry after
// backoff. The budget is the one of the request's service, or nil if the admission points enforce it.
func Decide(in Input, budget *Budget, now time.Duration, rng *rand.Rand) Decision {
	reason := failureReason(&in)
	if reason == "" {
		return Decision{}
	}
	if !mayRetry(&in) && !isUnservedCutRun(&in) {
		return Decision{Reason: reason}
	}
	if in.Remaining < MinAttemptTime {
		return Decision{Reason: verdict.DeadlineExceeded}
	}
	if mayTryNextTarget(&in) {
		return Decision{Retry: true, Reason: reason, TryNextTarget: true, SameTarget: isStaleRefusal(&in)}
	}
	if isUnservedCutRun(&in) {
		return decideCutRunWait(&in, reason, rng)
	}
	if wasOnlyRefused(&in) {
		return decideCapacityWait(&in, reason, rng)
	}
	return decideBackoff(&in, reason, budget, now, rng)
}

// wasOnlyRefused reports whether no target accepted the request in this round.
func wasOnlyRefused(in *Input) bool {
	if in.Err == nil || in.Err.Verdict != verdict.NotRun {
		return false
	}
	return isAdmissionRefusal(in.Err.Reason) || in.Err.Reason == verdict.NoTarget
}

// isUnservedCutRun reports whether the run of the request was cut off and no target has run it in this round.
func isUnservedCutRun(in *Input) bool {
	if !in.RunWasCut || in.Err == nil || in.Err.Verdict != verdict.NotRun {
		return false
	}
	return wasOnlyRefused(in) || in.Err.Reason == verdict.UpstreamShed || in.Err.Reason == verdict.LinkBudget
}

// decideCapacityWait decides whether the targets are tried again after a short wait. Nothing was sent to an upstream, so
// the wait does not count as an attempt and takes nothing from the budget.
func decideCapacityWait(in *Input, reason verdict.Reason, rng *rand.Rand) Decision {
	if in.CapacityWaits >= MaxCapacityWaits || in.Saturated {
		return Decision{Reason: reason}
	}
	after := Backoff(in.CapacityWaits+1, retryAfter(in), rng)
	if after+MinAttemptTime > in.Remaining {
		return Decision{Reason: verdict.DeadlineExceeded}
	}
	return Decision{Retry: true, After: after, Reason: reason, WaitForCapacity: true}
}

// decideCutRunWait decides whether the targets are tried again for a request whose run was cut off. Its rounds are limited by time only.
func decideCutRunWait(in *Input, reason verdict.Reason, rng *rand.Rand) Decision {
	after := Backoff(1, max(retryAfter(in), CutRunWait), rng)
	if after+max(in.UsualRun, MinAttemptTime) > in.Remaining {
		return Decision{Reason: reason}
	}
	return Decision{Retry: true, After: after, Reason: reason, WaitForCapacity: true}
}

func decideBackoff(in *Input, reason verdict.Reason, budget *Budget, now time.Duration, rng *rand.Rand) Decision {
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

// failureReason returns why the attempt failed, or "" if its response is final.
func failureReason(in *Input) verdict.Reason {
	if in.Err != nil {
		return in.Err.Reason
	}
	if slices.Contains(in.RetryStatuses, in.Status) {
		return verdict.UpstreamStatus
	}
	return ""
}

// mayRetry reports whether another attempt is safe and may have a different result. A request of an unknown class counts
// as non-idempotent, an unknown verdict as may-have-run.
func mayRetry(in *Input) bool {
	if in.Err == nil {
		return in.Class == declaration.Idempotent
	}
	if in.Err.Verdict != verdict.NotRun && in.Class != declaration.Idempotent {
		return false
	}
	return isAdmissionRefusal(in.Err.Reason) || isTransient(in.Err.Reason)
}

// mayTryNextTarget reports whether the next target is tried without backoff.
func mayTryNextTarget(in *Input) bool {
	if in.Err == nil || in.Err.Verdict != verdict.NotRun || !isAdmissionRefusal(in.Err.Reason) {
		return false
	}
	if in.Refusals < 1 || in.Refusals > MaxRefusals {
		return false
	}
	return in.Untried > 0 || isStaleRefusal(in)
}

// isStaleRefusal reports whether the refusal only means that the accepting node's cached state of the admitting
// node was stale.
func isStaleRefusal(in *Input) bool {
	if in.Refusals > 1 {
		return false
	}
	return IsStaleRefusal(in.Err.Reason)
}

// IsStaleRefusal reports whether the reason only means that the accepting node's cached state of the admitting node was stale.
// The next attempt at the same target uses the new state.
func IsStaleRefusal(reason verdict.Reason) bool {
	return reason == verdict.AdmitExpired || reason == verdict.WrongIncarnation
}

// isAdmissionRefusal reports whether the request ended at an admission point or at a connection that could not be opened.
// Such a refusal costs one message and no work at an upstream.
func isAdmissionRefusal(reason verdict.Reason) bool {
	switch reason {
	case verdict.SlotsFull, verdict.QueueDeadline, verdict.TargetDraining, verdict.TargetStarting, verdict.TargetOnTrial, verdict.TargetDoubtful, verdict.RepeatsSpent,
		verdict.TargetUnknown, verdict.AttemptFenced, verdict.AcceptorStopping, verdict.AdmitExpired, verdict.WrongIncarnation, verdict.NodeStopping,
		verdict.UpstreamUnreachable, verdict.NodeUnreachable, verdict.AccessUnchecked:
		return true
	}
	return false
}

// isTransient reports whether the request may succeed at another target or a little later.
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

// retryAfter returns the minimum delay that the response or the refusal requests.
func retryAfter(in *Input) time.Duration {
	if in.Err == nil {
		return in.RetryAfter
	}
	return max(in.RetryAfter, in.Err.RetryAfter)
}
