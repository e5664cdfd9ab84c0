package main

import "time"

// plan configures the measurement.
type plan struct {
	rounds int
	// slice is the time per path, concurrency level and round.
	slice time.Duration
	// size is the body size of a response, archive that of the streamed response, in bytes.
	size    int64
	archive int64
}

// concurrencyLevels lists the measured numbers of concurrent callers.
var concurrencyLevels = []int{1, 8, 64}
