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

// goalRatio is the goal for the mean number of outcomes to a detection, in multiples of Lorden's bound. It is tested
// where requests follow each other; under load, requests that were sent before the fault end after it began.
const goalRatio = 1.5

func find(t *testing.T, all []scenario, name string) scenario {
	t.Helper()
	for _, s := range all {
		if s.name == name {
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return scenario{}
}

// Guards against a wrong bound beside the measured figures: ln(1e6)/ln(100) for a dead target, and about 18 requests
// for 30% errors against 1%.
func TestLeastRequests(t *testing.T) {
	const alarmRate = 1e-6
	if got := leastRequests(find(t, failing(), "dead"), alarmRate); math.Abs(got-3) > 0.05 {
		t.Errorf("dead: %.2f", got)
	}
	if got := leastRequests(find(t, failing(), "30% errors"), alarmRate); got < 16.5 || got > 18.5 {
		t.Errorf("30%% errors: %.2f", got)
	}
}

// Guards against faults that are missed or found late at low load.
func TestFaultsAreFound(t *testing.T) {
	policy := declaration.Policy{Preset: declaration.PresetDala}
	for _, s := range failing() {
		if s.flaps {
			continue
		}
		sum, err := testPlan.measure(s, levels()[0], sequentialTest("dala", policy))
		if err != nil {
			t.Fatal(err)
		}
		least := leastRequests(s, detect.ParametersOf(policy).FalseAlarmRate)
		if sum.missed > 0 || sum.wrong > 0 || sum.meanEvidence() > goalRatio*least {
			t.Errorf("%s: %d missed, %d false, %.1f outcomes, bound %.1f", s.name, sum.missed, sum.wrong, sum.meanEvidence(), least)
		}
	}
}

// Guards against an ejection for a trouble that no target is to blame for, with the preset that weighs it most.
func TestTroublesEjectNoOne(t *testing.T) {
	policy := declaration.Policy{Preset: declaration.PresetHuon}
	for _, s := range blameless() {
		for _, load := range levels()[:2] {
			sum, err := testPlan.measure(s, load, sequentialTest("huon", policy))
			if err != nil {
				t.Fatal(err)
			}
			if sum.wrong > 0 {
				t.Errorf("%s, %s: %d false ejections", s.name, load.name, sum.wrong)
			}
		}
	}
}

// Guards against figures that cannot be measured again.
func TestEqualSeedsGiveEqualTables(t *testing.T) {
	p := plan{seed: 2, runs: 3, length: time.Minute, workers: 2, filter: "errors"}
	var first, second bytes.Buffer
	for _, out := range []*bytes.Buffer{&first, &second} {
		if err := p.table(out, []method{sequentialTest("huon", declaration.Policy{})}, []float64{1e-9}); err != nil {
			t.Fatal(err)
		}
	}
	if first.Len() == 0 || first.String() != second.String() {
		t.Errorf("tables differ:\n%s\n%s", &first, &second)
	}
}

// Guards against baselines that do not do what their names say, which would make the comparison worthless.
func TestBaselines(t *testing.T) {
	bad := detect.Outcome{Failed: true}
	c := consecutiveFailures().make(0)
	for range consecutiveLimit - 1 {
		c.observe(0, bad)
	}
	if c.suspects(0) {
		t.Error("ejected before the limit")
	}
	c.observe(0, bad)
	if !c.suspects(0) || c.suspects(baselineHold) {
		t.Error("not ejected for the hold")
	}
	s := successRateAgainstMean().make(0)
	seen := &sight{}
	for i := range targets {
		counts := detect.Counts{detect.Prompt: 100}
		if i == 0 {
			counts[detect.Failed] = 50
		}
		seen.reports = append(seen.reports, detect.Report{Counts: counts})
	}
	s.compare(rateInterval, seen)
	if !s.suspects(rateInterval) {
		t.Error("a target with two thirds of successes stays")
	}
}
