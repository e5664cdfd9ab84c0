package main

import (
	"fmt"
	"time"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

// refusedAfter is the time that a refused connection takes.
const refusedAfter = time.Millisecond

// failing returns the scenarios in which target 0 fails.
func failing() []scenario {
	all := []scenario{
		{name: "dead", draw: drawDead, probe: func(m moment) bool { return !m.fault() }},
		{name: "30% errors", draw: drawErrors(0.3)},
		{name: "10x slow", draw: drawSlow(10)},
		{name: "probes fine, work fails", draw: drawErrors(1)},
		{name: "one-way cut", draw: drawCut},
	}
	for _, period := range []time.Duration{4 * time.Second, 20 * time.Second, 120 * time.Second} {
		all = append(all, scenario{name: fmt.Sprintf("flapping, period %v", period), draw: drawFlapping(period), flaps: true})
	}
	for i := range all {
		all[i].failing = true
	}
	return all
}

func drawDead(m moment) drawn {
	d := healthyOutcome(m.rng)
	if m.fault() {
		return d.failedWith(verdict.UpstreamUnreachable, refusedAfter)
	}
	return d
}

// drawErrors fails a share of the requests with a status, at the usual speed.
func drawErrors(share float64) func(moment) drawn {
	return func(m moment) drawn {
		d := healthyOutcome(m.rng)
		if m.fault() && m.rng.Float64() < share {
			return d.failedWith("", d.outcome.FirstByte)
		}
		return d
	}
}

func drawSlow(factor float64) func(moment) drawn {
	return func(m moment) drawn {
		d := healthyOutcome(m.rng)
		if m.fault() {
			return d.slower(factor)
		}
		return d
	}
}

// drawCut swallows every answer: the requests fail when the time to the first byte is over.
func drawCut(m moment) drawn {
	d := healthyOutcome(m.rng)
	if m.fault() {
		return d.failedWith(verdict.UpstreamTimeout, firstByteLimit)
	}
	return d
}

// drawFlapping fails all requests in the first half of each period.
func drawFlapping(period time.Duration) func(moment) drawn {
	return func(m moment) drawn {
		d := healthyOutcome(m.rng)
		if m.fault() && m.since%period < period/2 {
			return d.failedWith("", d.outcome.FirstByte)
		}
		return d
	}
}
