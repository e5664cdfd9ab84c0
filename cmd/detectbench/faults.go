package main

import (
	"fmt"
	"time"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// refusalLatency is the time that a refused connection takes.
const refusalLatency = time.Millisecond

// failingScenarios returns the scenarios in which target 0 fails.
func failingScenarios() []scenario {
	all := []scenario{
		{name: "dead", draw: drawDead, healthProbe: func(c drawContext) bool { return !c.isFaulty() }},
		{name: "30% errors", draw: drawErrors(0.3)},
		{name: "10x slow", draw: drawSlow(10)},
		{name: "probes fine, work fails", draw: drawErrors(1)},
		{name: "one-way cut", draw: drawOneWayCut},
	}
	for _, period := range []time.Duration{4 * time.Second, 20 * time.Second, 120 * time.Second} {
		all = append(all, scenario{name: fmt.Sprintf("flapping, period %v", period), draw: drawFlapping(period), flapping: true})
	}
	for i := range all {
		all[i].failing = true
	}
	return all
}

func drawDead(c drawContext) drawnOutcome {
	d := healthyOutcome(c.rng)
	if c.isFaulty() {
		return d.withFailure(verdict.UpstreamUnreachable, refusalLatency)
	}
	return d
}

// drawErrors fails a share of the requests with an error status, at normal latency.
func drawErrors(share float64) func(drawContext) drawnOutcome {
	return func(c drawContext) drawnOutcome {
		d := healthyOutcome(c.rng)
		if c.isFaulty() && c.rng.Float64() < share {
			return d.withFailure("", d.outcome.FirstByte)
		}
		return d
	}
}

func drawSlow(factor float64) func(drawContext) drawnOutcome {
	return func(c drawContext) drawnOutcome {
		d := healthyOutcome(c.rng)
		if c.isFaulty() {
			return d.slowedBy(factor)
		}
		return d
	}
}

// drawOneWayCut drops every response: the requests fail at the first-byte timeout.
func drawOneWayCut(c drawContext) drawnOutcome {
	d := healthyOutcome(c.rng)
	if c.isFaulty() {
		return d.withFailure(verdict.UpstreamTimeout, firstByteTimeout)
	}
	return d
}

// drawFlapping fails all requests in the first half of each period.
func drawFlapping(period time.Duration) func(drawContext) drawnOutcome {
	return func(c drawContext) drawnOutcome {
		d := healthyOutcome(c.rng)
		if c.isFaulty() && c.sinceOnset%period < period/2 {
			return d.withFailure("", d.outcome.FirstByte)
		}
		return d
	}
}
