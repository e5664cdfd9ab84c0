package main

import (
	"bytes"
	"math"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/detect"
)

var testPlan = plan{seed: 1, runs: 12, length: 4 * time.Minute, workers: 1}

// goalRatio is the upper limit on the mean number of outcomes to a detection, in multiples of Lorden's bound. It is
// tested only at low load: at high load, outcomes of requests that were sent before the onset arrive after it.
const goalRatio = 1.5

func findScenario(t *testing.T, all []scenario, name string) scenario {
	t.Helper()
	for _, s := range all {
		if s.name == name {
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return scenario{}
}

// Guards against a wrong bound in the tables. The expected bound is ln(1e6)/ln(100) requests for a dead target, and
// about 18 requests for 30% errors against 1% errors at a healthy target.
func TestLordenBound(t *testing.T) {
	const alarmRate = 1e-6
	if got := lordenBound(findScenario(t, failingScenarios(), "dead"), alarmRate); math.Abs(got-3) > 0.05 {
		t.Errorf("dead: %.2f", got)
	}
	if got := lordenBound(findScenario(t, failingScenarios(), "30% errors"), alarmRate); got < 16.5 || got > 18.5 {
		t.Errorf("30%% errors: %.2f", got)
	}
}

// Guards against faults that are detected late or not at all at low load.
func TestFaultsAreFound(t *testing.T) {
	policy := declaration.Policy{Preset: declaration.PresetDala}
	for _, s := range failingScenarios() {
		if s.flapping {
			continue
		}
		sum, err := testPlan.measure(s, loadLevels()[0], sequentialTest("dala", policy))
		if err != nil {
			t.Fatal(err)
		}
		bound := lordenBound(s, detect.ParametersOf(policy).FalseAlarmRate)
		if sum.missed > 0 || sum.falseEjections > 0 || sum.meanEvidence() > goalRatio*bound {
			t.Errorf("%s: %d missed, %d false, %.1f outcomes, bound %.1f", s.name, sum.missed, sum.falseEjections, sum.meanEvidence(), bound)
		}
	}
}

// Guards against ejections because of disturbances that are not attributable to a target. It uses the
// huon preset, for which false ejections matter most: it has the lowest false alarm rate.
func TestDisturbancesCauseNoEjection(t *testing.T) {
	policy := declaration.Policy{Preset: declaration.PresetHuon}
	for _, s := range healthyScenarios() {
		for _, load := range loadLevels()[:2] {
			sum, err := testPlan.measure(s, load, sequentialTest("huon", policy))
			if err != nil {
				t.Fatal(err)
			}
			if sum.falseEjections > 0 {
				t.Errorf("%s, %s: %d false ejections", s.name, load.name, sum.falseEjections)
			}
		}
	}
}

// Guards against figures that cannot be reproduced with the same seed.
func TestEqualSeedsGiveEqualTables(t *testing.T) {
	p := plan{seed: 2, runs: 3, length: time.Minute, workers: 2, filter: "errors"}
	var first, second bytes.Buffer
	for _, out := range []*bytes.Buffer{&first, &second} {
		if err := p.printTables(out, []method{sequentialTest("huon", declaration.Policy{})}, []float64{1e-9}); err != nil {
			t.Fatal(err)
		}
	}
	if first.Len() == 0 || first.String() != second.String() {
		t.Errorf("tables differ:\n%s\n%s", &first, &second)
	}
}

// Guards against baseline methods that do not eject by their own rule, which would invalidate the comparison.
func TestBaselines(t *testing.T) {
	bad := detect.Outcome{Failed: true}
	c := consecutiveFailures().newDetector(0)
	for range consecutiveLimit - 1 {
		c.observe(0, bad)
	}
	if c.isSuspected(0) {
		t.Error("ejected before the limit")
	}
	c.observe(0, bad)
	if !c.isSuspected(0) || c.isSuspected(baselineEjectionTime) {
		t.Error("not ejected for exactly baselineEjectionTime")
	}
	s := successRateAgainstMean().newDetector(0)
	set := &reportSet{}
	for i := range targets {
		counts := detect.Counts{detect.Prompt: 100}
		if i == 0 {
			counts[detect.Failed] = 50
		}
		set.reports = append(set.reports, detect.Report{Counts: counts})
	}
	s.compareWithPeers(successRateInterval, set)
	if !s.isSuspected(successRateInterval) {
		t.Error("a target with two thirds of successes is not ejected")
	}
}
