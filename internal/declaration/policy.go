package declaration

// Preset names a pair of error rates for the detection of failing targets.
type Preset string

const (
	// PresetHuon holds false ejections to be worse than slow detection.
	PresetHuon Preset = "huon"
	// PresetDala holds slow detection to be worse than false ejections.
	PresetDala Preset = "dala"
)

// Policy sets how failing targets of a service are detected. The zero value means PresetHuon.
type Policy struct {
	Preset Preset `json:"preset,omitempty"`
	// FalseAlarmRate overrides the preset's probability of a false alarm per request, between 0 and 1 exclusive.
	FalseAlarmRate float64 `json:"false_alarm_rate,omitempty"`
	// FailureRate overrides the share of failing requests that the test is tuned to find, between 0 and 1 exclusive.
	FailureRate float64 `json:"failure_rate,omitempty"`
}
