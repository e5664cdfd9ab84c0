package declaration

// Preset names a pair of error rates for the failure detector.
type Preset string

const (
	// PresetHuon prefers slow detection over false ejections.
	PresetHuon Preset = "huon"
	// PresetDala prefers false ejections over slow detection.
	PresetDala Preset = "dala"
)

// Policy configures the failure detector for the targets of a service. The zero value means PresetHuon.
type Policy struct {
	Preset Preset `json:"preset,omitempty"`
	// FalseAlarmRate overrides the preset's probability of a false alarm per request, between 0 and 1 exclusive.
	FalseAlarmRate float64 `json:"false_alarm_rate,omitempty"`
	// FailureRate overrides the share of failing requests that the detector is tuned to detect, between 0 and 1 exclusive.
	FailureRate float64 `json:"failure_rate,omitempty"`
}
