package detect

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// runTrial runs a trial request with the given outcome and reports whether it was allowed.
func (s *service) runTrial(outcome Outcome) bool {
	if !s.detector.BeginTrial(s.now, true) {
		return false
	}
	outcome.IsTrial = true
	s.now += step
	s.detector.Observe(s.now, outcome)
	return true
}

// Guards against trial requests during the hold-down, non-idempotent trial requests, and more than one at a time.
func TestTrialsAreFewAndIdempotent(t *testing.T) {
	s := newSuspectedService(declaration.PresetDala)
	if s.state().Phase != Suspected || s.detector.BeginTrial(s.now, true) {
		t.Fatal("trial request allowed during the hold-down")
	}
	s.now = s.state().HoldDownUntil
	if s.detector.BeginTrial(s.now, false) {
		t.Error("non-idempotent trial request allowed")
	}
	if !s.detector.BeginTrial(s.now, true) || s.detector.BeginTrial(s.now, true) {
		t.Error("not exactly one trial request at a time")
	}
	if !s.detector.BeginTrial(s.now+trialTimeout, true) {
		t.Error("a trial request without an outcome prevents the next one after trialTimeout")
	}
}

// Guards against a return after too few or too many successful trial requests, and against a return of a target that
// still fails.
func TestReturnAfterTrialRequests(t *testing.T) {
	// A target that fails 30% of its requests passes 9 trial requests with a probability of 4%, and 8 with more than
	// 5%.
	const trials = 9
	s := newSuspectedService(declaration.PresetHuon)
	s.now = s.state().HoldDownUntil
	for n := 1; n <= trials; n++ {
		if s.state().Phase != InTrial || !s.runTrial(prompt) {
			t.Fatalf("%s before trial request %d", s.state().Phase, n)
		}
	}
	if phase := s.state().Phase; phase != Healthy {
		t.Errorf("%s after %d successful trial requests", phase, trials)
	}
	failing := newSuspectedService(declaration.PresetHuon)
	failing.now = failing.state().HoldDownUntil
	failing.runTrial(failed)
	failing.runTrial(failed)
	if state := failing.state(); state.Phase != Suspected || state.Level != 2 {
		t.Errorf("%+v after two failed trial requests", state)
	}
}

// Guards against a hold-down that does not grow for a flapping target, that grows without limit, or that never decays
// after an old fault.
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
		want = min(2*want, maxHoldDown)
	}
	if h.decay(now + decayFactor*maxHoldDown - 1); h.length() != maxHoldDown {
		t.Errorf("hold-down %v, but the time in the Healthy phase was too short for a decay", h.length())
	}
	h.decay(now + 10*decayFactor*maxHoldDown)
	if h.level != 0 {
		t.Errorf("level %d after a long time in the Healthy phase", h.level)
	}
}
