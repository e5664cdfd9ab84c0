package fakestore

// Faults are the failures that the store shows at present. The zero value shows none.
type Faults struct {
	// Down refuses every call before it takes effect, and ends waiting watches. Over the network the connection breaks
	// without an answer.
	Down bool `json:"down"`
	// DelayMS holds every call for this many milliseconds before it takes effect. A write takes effect even if its
	// caller has given up.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is the number of writes to come that take effect but get no answer; negative means all.
	LoseAnswers int `json:"lose_answers"`
	// ReadsPerSecond and WritesPerSecond limit the calls, 0 for no limit. A waiting watch counts as one read.
	ReadsPerSecond  int `json:"reads_per_second"`
	WritesPerSecond int `json:"writes_per_second"`
}
