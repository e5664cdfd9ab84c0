package detect

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// trialRun runs a trial with the given outcome and reports whether one was allowed.
func (s *service) trialRun(outcome Outcome) bool {
	if !s.detector.BeginTrial(s.now, true) {
		return false
	}
	outcome.Trial = true
	s.now += step
	s.detector.Observe(s.now, outcome)
	return true
}

// Guards against trials in the hold-down, trials with non-idempotent requests, and more than one at a time.
func TestTrialsAreFewAndIdempotent(t *testing.T) {
	s := suspected(declaration.PresetDala)
	if s.state().Phase != Suspect || s.detector.BeginTrial(s.now, true) {
		t.Fatal("a trial in the hold-down")
	}
	s.now = s.state().HoldUntil
	if s.detector.BeginTrial(s.now, false) {
		t.Error("a trial with a non-idempotent request")
	}
	if !s.detector.BeginTrial(s.now, true) || s.detector.BeginTrial(s.now, true) {
		t.Error("not exactly one trial at a time")
	}
	if !s.detector.BeginTrial(s.now+trialTimeout, true) {
		t.Error("a trial that never ended keeps the target out")
	}
}

// Guards against a return after too few or too many good trials, and against a return of a target that still fails.
func TestReturn(t *testing.T) {
	// A target that fails 30% of its requests passes 9 trials with a probability of 4%, and 8 with more than 5%.
	const trials = 9
	s := suspected(declaration.PresetHuon)
	s.now = s.state().HoldUntil
	for n := 1; n <= trials; n++ {
		if s.state().Phase != Trial || !s.trialRun(prompt) {
			t.Fatalf("%s before trial %d", s.state().Phase, n)
		}
	}
	if phase := s.state().Phase; phase != Healthy {
		t.Errorf("%s after %d good trials", phase, trials)
	}
	bad := suspected(declaration.PresetHuon)
	bad.now = bad.state().HoldUntil
	bad.trialRun(failed)
	bad.trialRun(failed)
	if state := bad.state(); state.Phase != Suspect || state.Level != 2 {
		t.Errorf("%+v after two failed trials", state)
	}
}

// Guards against a flapping target that costs the same at each return, a hold-down without limit, and an old fault that
// is held against a target for ever.
func TestHoldDownDoublesAndDecays(t *testing.T) {
	h := holdDown{base: 15 * time.Second}
	now, want := time.Duration(0), h.base
	for range 10 {
		h.begin(now)
		if h.until-now != want {
			t.Fatalf("hold-down %v, want %v", h.until-now, want)
		}
		now = h.until
		h.returned = now
		want = min(2*want, holdLimit)
	}
	if h.decay(now + decayFactor*holdLimit - 1); h.length() != holdLimit {
		t.Errorf("%v after too short a time in work", h.length())
	}
	h.decay(now + 10*decayFactor*holdLimit)
	if h.level != 0 {
		t.Errorf("level %d after a long time in work", h.level)
	}
}
