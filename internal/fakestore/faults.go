package fakestore

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// Down refuses every call before it takes effect, and ends waiting watches. Over the network the connection is
	// closed without a response.
	Down bool `json:"down"`
	// DelayMS delays every call by this many milliseconds before it takes effect. A write takes effect even if its
	// caller has timed out.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is the number of following writes that take effect but whose response is lost; negative means all.
	LoseAnswers int `json:"lose_answers"`
	// ReadsPerSecond and WritesPerSecond limit the rate of calls; 0 means no limit. A waiting watch counts as one read.
	ReadsPerSecond  int `json:"reads_per_second"`
	WritesPerSecond int `json:"writes_per_second"`
}
