package detect

import (
	"math"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// Parameters is a policy in the terms of the test.
type Parameters struct {
	// FalseAlarmRate is the bound on the probability of a false alarm per request.
	FalseAlarmRate float64
	// FailureRate is the share of failing requests that the test is tuned to find.
	FailureRate float64
	// HoldDown is the time before the first trial.
	HoldDown time.Duration
	// HeadStart is the share of the threshold at which the test starts after a return. It speeds up the detection of
	// flapping targets.
	HeadStart float64
}

var presets = map[declaration.Preset]Parameters{
	declaration.PresetHuon: {FalseAlarmRate: 1e-9, FailureRate: 0.3, HoldDown: 15 * time.Second, HeadStart: 0},
	declaration.PresetDala: {FalseAlarmRate: 1e-6, FailureRate: 0.3, HoldDown: 5 * time.Second, HeadStart: 0.5},
}

// ParametersOf returns the parameters of a valid policy.
func ParametersOf(policy declaration.Policy) Parameters {
	parameters, ok := presets[policy.Preset]
	if !ok {
		parameters = presets[declaration.PresetHuon]
	}
	if policy.FalseAlarmRate > 0 {
		parameters.FalseAlarmRate = policy.FalseAlarmRate
	}
	if policy.FailureRate > 0 {
		parameters.FailureRate = policy.FailureRate
	}
	return parameters
}

// threshold returns the bound of the cumulative sums. The false alarm rate is shared among the hypotheses.
func (p Parameters) threshold() float64 { return math.Log(hypotheses / p.FalseAlarmRate) }
