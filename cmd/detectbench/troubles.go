package main

import (
	"math"
	"time"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

const (
	// troublePeriod and troubleLength are the rhythm of troubles that no target is to blame for.
	troublePeriod = 3 * time.Minute
	troubleLength = time.Minute
	// rampLength is the time for which a cold target is in its ramp, and stays slow for as long again.
	rampLength = 10 * time.Second
)

// inTrouble reports whether the trouble is on.
func (m moment) inTrouble() bool { return m.since >= 0 && m.since%troublePeriod < troubleLength }

// blameless returns the scenarios in which no target fails.
func blameless() []scenario {
	return []scenario{
		{name: "healthy", draw: func(m moment) drawn { return healthyOutcome(m.rng) }},
		{name: "healthy under overload", draw: drawOverload, load: overload, probe: overloadProbe},
		{name: "healthy under cold start", draw: drawCold},
		{name: "load report stuck", draw: drawStuck, extra: 2},
		{name: "bad caller", draw: drawBadCaller},
		{name: "slow shared dependency", draw: drawDependency},
	}
}

func overload(m moment) float64 {
	if m.inTrouble() {
		return 2
	}
	return 1
}

// drawOverload sheds a third, is 4 times slower with differences between the targets, and loses 5% to timeouts.
func drawOverload(m moment) drawn {
	d := healthyOutcome(m.rng)
	if !m.inTrouble() {
		return d
	}
	switch chance := m.rng.Float64(); {
	case chance < 0.33:
		d.outcome.Reason = verdict.UpstreamShed
		d.takes = refusedAfter
		return d
	case chance < 0.36:
		return d.failedWith(verdict.UpstreamTimeout, firstByteLimit)
	}
	return d.slower(4 * (0.7 + 0.1*float64(m.target)))
}

func overloadProbe(m moment) bool { return !m.inTrouble() || m.rng.Float64() < 0.5 }

// drawCold makes target 0 slow as it starts with each trouble: 8 times in the ramp, which is known, falling to normal
// within the same time after it.
func drawCold(m moment) drawn {
	d := healthyOutcome(m.rng)
	age := m.since % troublePeriod
	if !m.fault() || age >= 2*rampLength {
		return d
	}
	d.outcome.ColdStart = age < rampLength
	return d.slower(1 + 7*math.Exp(-3*age.Seconds()/rampLength.Seconds()))
}

// drawStuck is a target whose load report stays at idle: it gets twice the work, sheds some and is half as fast.
func drawStuck(m moment) drawn {
	d := healthyOutcome(m.rng)
	if !m.fault() {
		return d
	}
	if m.rng.Float64() < 0.2 {
		d.outcome.Reason = verdict.UpstreamShed
		d.takes = refusedAfter
		return d
	}
	return d.slower(2)
}

// drawBadCaller is a caller whose requests, a third of all, fail wherever they run.
func drawBadCaller(m moment) drawn {
	d := healthyOutcome(m.rng)
	if m.inTrouble() && m.rng.Float64() < 0.33 {
		return d.failedWith("", d.outcome.FirstByte)
	}
	return d
}

func drawDependency(m moment) drawn {
	d := healthyOutcome(m.rng)
	if m.inTrouble() {
		return d.slower(10)
	}
	return d
}
