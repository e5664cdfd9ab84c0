package main

import "time"

// plan says how much to measure.
type plan struct {
	rounds int
	slice  time.Duration
	// size is the body size of an answer, archive that of the streamed one, in bytes.
	size    int64
	archive int64
}

// concurrencies are the numbers of callers that are measured.
var concurrencies = []int{1, 8, 64}
