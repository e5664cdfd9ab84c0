package fakeupstream

// Status is what the control listener reports at /status.
type Status struct {
	Target string `json:"target"`
	PID    int    `json:"pid"`
	// Phase is the current phase, AcceptedPhase the last one that the node has accepted.
	Phase         string `json:"phase"`
	AcceptedPhase string `json:"accepted"`
	Slots         int    `json:"slots"`
	InFlight      int    `json:"in_flight"`
	// MaxInFlight is the maximum number of requests that ran at the same time.
	MaxInFlight int `json:"max_in_flight"`
	// Started counts requests that started to run, Finished those that ended with a complete response.
	Started  int `json:"started"`
	Finished int `json:"finished"`
	// Shed counts requests refused with HeaderNotRun.
	Shed int `json:"shed"`
	// Failed counts requests that ended with an injected error, a dropped response or a truncated body.
	Failed int `json:"failed"`
	// Cancelled counts requests whose connection closed before their response was complete.
	Cancelled int `json:"cancelled"`
	// StartedWhileDraining counts requests that started to run after the upstream started to drain.
	StartedWhileDraining int `json:"started_draining"`
	HealthProbes         int `json:"probes"`
}
