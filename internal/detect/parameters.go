package detect

import (
	"math"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// Parameters holds the test parameters that a policy defines.
type Parameters struct {
	// FalseAlarmRate is the upper bound on the probability of a false alarm per request.
	FalseAlarmRate float64
	// FailureRate is the share of failing requests that the test is tuned to detect.
	FailureRate float64
	// HoldDown is the first hold-down, before any doubling.
	HoldDown time.Duration
	// HeadStart is the share of the threshold at which the sums start after the target has returned. It speeds up the
	// detection of flapping targets.
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

// threshold returns the threshold of the cumulative sums. The false alarm rate is divided among the hypotheses.
func (p Parameters) threshold() float64 { return math.Log(hypothesisCount / p.FalseAlarmRate) }
