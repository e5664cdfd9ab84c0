package detect

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Guards against counting shed requests, refusals and cancellation by callers as evidence against a target.
func TestRefusalsAreNoEvidence(t *testing.T) {
	failures := map[verdict.Reason]bool{
		verdict.UpstreamLost: true, verdict.UpstreamTimeout: true, verdict.UpstreamUnreachable: true,
		verdict.AnswerIncomplete: true,
	}
	for _, reason := range verdict.Reasons() {
		s := newService(declaration.PresetDala)
		for range 100 {
			s.outcome(Outcome{Route: page, Failed: true, Reason: reason, FirstByte: time.Hour}, prompt)
		}
		s.exchangeReports()
		if got := s.state().Phase == Suspected; got != failures[reason] {
			t.Errorf("reason %s: suspected %v, want %v", reason, got, failures[reason])
		}
	}
}

// Guards against suspecting a target for a fault that all targets share, and against missing a target that alone fails
// or is slow.
func TestSuspectsOnlyTargetsThatDifferFromPeers(t *testing.T) {
	tests := []struct {
		name       string
		own, other Outcome
		want       Phase
	}{
		{"dead", failed, prompt, Suspected},
		{"slow", slow10, prompt, Suspected},
		{"faulty caller", failed, failed, Healthy},
		{"slow shared dependency", slow10, slow10, Healthy},
		{"healthy", prompt, failed, Healthy},
	}
	for _, test := range tests {
		s := newService(declaration.PresetDala)
		for range 10 {
			s.outcome(test.own, test.other)
		}
		if phase := s.state().Phase; phase != Healthy {
			t.Errorf("%s: %s before the comparison", test.name, phase)
		}
		s.exchangeReports()
		if phase := s.state().Phase; phase != test.want {
			t.Errorf("%s: %s, want %s", test.name, phase, test.want)
		}
	}
}

// Guards against a partitioned node that never suspects its target because no reports arrive.
func TestSuspectsWithoutReportsAfterTimeout(t *testing.T) {
	s := newService(declaration.PresetHuon)
	for range 10 {
		s.outcome(failed, prompt)
	}
	if state := s.state(); !state.AwaitingReports || state.Phase != Healthy {
		t.Fatalf("%+v before any report", state)
	}
	s.now += reportTimeout
	if phase := s.state().Phase; phase != Suspected {
		t.Errorf("%s after %v without reports", phase, reportTimeout)
	}
}

// Guards against counting routes with a long time to the first byte, such as archives, as slow, and against missing a
// slow route because another route is as slow.
func TestLatencyIsComparedPerRoute(t *testing.T) {
	archive := Outcome{Route: "/archive", FirstByte: 40 * baselineLatency}
	s := newService(declaration.PresetDala)
	for range 20 {
		s.outcome(archive, archive)
	}
	s.exchangeReports()
	for range 100 {
		s.outcome(archive, archive)
	}
	if score := s.state().Score; score != 0 {
		t.Errorf("score %.2f for archives that are as fast as at the other targets", score)
	}
	for range 10 {
		s.outcome(Outcome{Route: page, FirstByte: archive.FirstByte}, prompt)
	}
	s.exchangeReports()
	if phase := s.state().Phase; phase != Suspected {
		t.Errorf("%s with pages as slow as archives", phase)
	}
}

// Guards against suspecting a target because it is slow during its cold start.
func TestColdTargetMayBeSlow(t *testing.T) {
	s := newService(declaration.PresetDala)
	starting := slow10
	starting.ColdStart = true
	for range 100 {
		s.outcome(starting, prompt)
	}
	s.exchangeReports()
	if state := s.state(); state.Phase != Healthy || state.Score != 0 {
		t.Errorf("%+v", state)
	}
}

// Guards against successful health probes that lower the score, and against health probes that raise an alarm without
// any real request.
func TestHealthProbesAreOnlyEvidenceAgainstTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newService(rapid.SampledFrom([]declaration.Preset{declaration.PresetHuon, declaration.PresetDala}).Draw(t, "preset"))
		for range rapid.IntRange(1, 200).Draw(t, "probes") {
			s.now += step
			before := s.state().Score
			s.detector.ObserveHealthProbe(s.now, rapid.Bool().Draw(t, "success"))
			if after := s.state(); after.Score < before || after.AwaitingReports {
				t.Fatalf("score %.2f before the probe, then %+v", before, after)
			}
		}
	})
	s := newService(declaration.PresetHuon)
	for range 100 {
		s.detector.ObserveHealthProbe(s.now, false)
	}
	s.outcome(failed, prompt)
	if !s.state().AwaitingReports {
		t.Error("no alarm at the first failed request of a target that fails its health probes")
	}
}

// Guards against hanging requests that are not detected until they time out. Also guards against suspecting a target
// for hanging requests although requests hang at the other targets as well, or many requests completed in the meantime.
func TestInFlightRequestsWithoutProgress(t *testing.T) {
	hanging := make([]InFlight, 7)
	for i := range hanging {
		hanging[i] = InFlight{Route: page, Waiting: 2 * time.Second}
	}
	alone, shared, busy := newService(declaration.PresetHuon), newService(declaration.PresetHuon), newService(declaration.PresetHuon)
	for _, d := range shared.others {
		d.ObserveInFlight(shared.now, hanging...)
	}
	for range 3 * historyLength {
		busy.outcome(prompt, prompt)
		busy.now -= step * 9 / 10
	}
	for _, test := range []struct {
		name string
		s    *service
		want Phase
	}{{"alone", alone, Suspected}, {"shared", shared, Healthy}, {"busy", busy, Healthy}} {
		test.s.detector.ObserveInFlight(test.s.now, hanging...)
		test.s.exchangeReports()
		if phase := test.s.state().Phase; phase != test.want {
			t.Errorf("%s: %s, want %s", test.name, phase, test.want)
		}
	}
}

// Guards against suspecting a target at the start of a fault that all targets share. At that time, nearly all outcomes
// of the others since their last report are older than the fault.
func TestSharedFaultIsRecognizedAtItsFirstRequests(t *testing.T) {
	s := newService(declaration.PresetDala)
	for range 500 {
		s.outcome(prompt, prompt)
	}
	for range 3 {
		s.outcome(failed, prompt)
		s.outcome(failed, failed)
	}
	s.exchangeReports()
	if phase := s.state().Phase; phase != Healthy {
		t.Errorf("%s", phase)
	}
}
