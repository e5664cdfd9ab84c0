package main

import (
	"math"
	"time"

	"github.com/sardinereach/sardinereach/internal/verdict"
)

const (
	// A disturbance that is not attributable to a target starts every disturbancePeriod and lasts disturbanceLength.
	disturbancePeriod = 3 * time.Minute
	disturbanceLength = time.Minute
	// rampLength is the length of the slow-start ramp of a cold target, which stays slow for the same time afterwards.
	rampLength = 10 * time.Second
)

// isDisturbed reports whether a disturbance is active.
func (c drawContext) isDisturbed() bool {
	return c.sinceOnset >= 0 && c.sinceOnset%disturbancePeriod < disturbanceLength
}

// healthyScenarios returns the scenarios in which no target fails.
func healthyScenarios() []scenario {
	return []scenario{
		{name: "healthy", draw: func(c drawContext) drawnOutcome { return healthyOutcome(c.rng) }},
		{name: "healthy under overload", draw: drawOverload, loadFactor: overloadFactor, healthProbe: overloadHealthProbe},
		{name: "healthy under cold start", draw: drawCold},
		{name: "load report stuck", draw: drawStuckLoadReport, target0Factor: 2},
		{name: "bad caller", draw: drawBadCaller},
		{name: "slow shared dependency", draw: drawSlowDependency},
	}
}

func overloadFactor(c drawContext) float64 {
	if c.isDisturbed() {
		return 2
	}
	return 1
}

// drawOverload sheds 33% of the requests during a disturbance and lets 3% time out. The others take 2.8 to 5.6 times as
// long, depending on the target: 4 times multiplied by 0.7 to 1.4.
func drawOverload(c drawContext) drawnOutcome {
	d := healthyOutcome(c.rng)
	if !c.isDisturbed() {
		return d
	}
	switch chance := c.rng.Float64(); {
	case chance < 0.33:
		d.outcome.Reason = verdict.UpstreamShed
		d.duration = refusalLatency
		return d
	case chance < 0.36:
		return d.withFailure(verdict.UpstreamTimeout, firstByteTimeout)
	}
	return d.slowedBy(4 * (0.7 + 0.1*float64(c.target)))
}

func overloadHealthProbe(c drawContext) bool { return !c.isDisturbed() || c.rng.Float64() < 0.5 }

// drawCold restarts target 0 at the start of each disturbance. It responds 8 times slower at first and approaches
// normal latency within 2*rampLength. The detector is informed of the cold start only during the first rampLength.
func drawCold(c drawContext) drawnOutcome {
	d := healthyOutcome(c.rng)
	age := c.sinceOnset % disturbancePeriod
	if !c.isFaulty() || age >= 2*rampLength {
		return d
	}
	d.outcome.ColdStart = age < rampLength
	return d.slowedBy(1 + 7*math.Exp(-3*age.Seconds()/rampLength.Seconds()))
}

// drawStuckLoadReport models target 0 with a load report that is stuck at idle: the target receives twice its share of
// requests, sheds 20% of them and takes twice as long for the others.
func drawStuckLoadReport(c drawContext) drawnOutcome {
	d := healthyOutcome(c.rng)
	if !c.isFaulty() {
		return d
	}
	if c.rng.Float64() < 0.2 {
		d.outcome.Reason = verdict.UpstreamShed
		d.duration = refusalLatency
		return d
	}
	return d.slowedBy(2)
}

// drawBadCaller models a caller whose requests fail on every target. They are 33% of all requests.
func drawBadCaller(c drawContext) drawnOutcome {
	d := healthyOutcome(c.rng)
	if c.isDisturbed() && c.rng.Float64() < 0.33 {
		return d.withFailure("", d.outcome.FirstByte)
	}
	return d
}

// drawSlowDependency models a dependency of all targets that makes them 10 times slower.
func drawSlowDependency(c drawContext) drawnOutcome {
	d := healthyOutcome(c.rng)
	if c.isDisturbed() {
		return d.slowedBy(10)
	}
	return d
}
