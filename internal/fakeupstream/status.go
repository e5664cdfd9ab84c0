package fakeupstream

// Status is what the control listener reports at /status.
type Status struct {
	Target string `json:"target"`
	PID    int    `json:"pid"`
	// Phase is the present phase, Accepted the last one that the node has confirmed.
	Phase    string `json:"phase"`
	Accepted string `json:"accepted"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
	// MaxInFlight is the greatest number of requests that ran at the same time.
	MaxInFlight int `json:"max_in_flight"`
	// Started counts requests that began to run, Finished those that ended with a complete answer.
	Started  int `json:"started"`
	Finished int `json:"finished"`
	// Shed counts requests refused with HeaderNotRun.
	Shed int `json:"shed"`
	// Failed counts requests answered with an injected failure.
	Failed int `json:"failed"`
	// Cancelled counts requests whose connection closed before their answer was complete.
	Cancelled int `json:"cancelled"`
	// StartedDraining counts requests that began to run after the upstream began to drain.
	StartedDraining int `json:"started_draining"`
	Probes          int `json:"probes"`
}
