package main

import (
	"math/rand/v2"
	"time"

	"github.com/sardinereach/sardinereach/internal/retry"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// policy is a retry policy to compare.
type policy struct {
	name   string
	budget retry.BudgetLimits
	decide func(retry.Input, *retry.Budget, time.Duration, *rand.Rand) retry.Decision
}

// unlimited is a budget that is never exhausted.
var unlimited = retry.BudgetLimits{Share: 1e9, MinPerSecond: 1e9, Burst: 1e9}

func policies() []policy {
	return []policy{
		{"budget and full jitter", retry.DefaultBudgetLimits(), retry.Decide},
		{"full jitter, no budget", unlimited, retry.Decide},
		{"plain exponential, no budget", unlimited, plainExponential},
	}
}

// plainExponential doubles a fixed delay after every failure or refusal, whatever its reason.
func plainExponential(in retry.Input, _ *retry.Budget, _ time.Duration, _ *rand.Rand) retry.Decision {
	after := retry.BaseDelay << (in.Attempt - 1)
	switch {
	case in.Attempt >= in.MaxAttempts:
		return retry.Decision{Reason: verdict.RetryAttempts}
	case after > in.Remaining:
		return retry.Decision{Reason: verdict.DeadlineExceeded}
	}
	return retry.Decision{Retry: true, After: after, Reason: in.Err.Reason}
}
