package main

import (
	"math/rand/v2"
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// drawContext holds the inputs for a generated outcome.
type drawContext struct {
	rng    *rand.Rand
	target int
	// sinceOnset is the time since the onset of the fault, negative before it.
	sinceOnset time.Duration
}

// isFaulty reports whether the target is target 0 after the onset of the fault.
func (c drawContext) isFaulty() bool { return c.target == 0 && c.sinceOnset >= 0 }

// scenario generates the outcomes of one kind of fault or disturbance.
type scenario struct {
	name string
	// failing means that target 0 fails, so its ejection is correct. Otherwise every ejection is false.
	failing bool
	// flapping means that the failing target is healthy for half of the time. Lorden's bound does not apply to it.
	flapping bool
	// draw returns the outcome of a request.
	draw func(c drawContext) drawnOutcome
	// healthProbe returns the result of a health probe; nil means that all health probes succeed.
	healthProbe func(c drawContext) bool
	// loadFactor returns the factor on the request rate; nil means 1.
	loadFactor func(c drawContext) float64
	// target0Factor is the factor on the share of requests that target 0 receives after the onset; 0 means 1.
	target0Factor float64
}

// drawnOutcome is a generated outcome with the time from the request to its completion.
type drawnOutcome struct {
	outcome  detect.Outcome
	duration time.Duration
}

// withFailure returns the outcome as a failure. An empty reason means a response with an error status.
func (d drawnOutcome) withFailure(reason verdict.Reason, duration time.Duration) drawnOutcome {
	d.outcome.Failed = true
	d.outcome.Reason = reason
	if reason != "" {
		d.outcome.FirstByte = 0
	}
	d.duration = duration
	return d
}

// slowedBy multiplies the time to the first byte. If it exceeds firstByteTimeout, the outcome is a timeout.
func (d drawnOutcome) slowedBy(factor float64) drawnOutcome {
	normal := d.outcome.FirstByte
	d.outcome.FirstByte = time.Duration(float64(normal) * factor)
	d.duration += d.outcome.FirstByte - normal
	if d.outcome.FirstByte > firstByteTimeout {
		return d.withFailure(verdict.UpstreamTimeout, firstByteTimeout)
	}
	return d
}
