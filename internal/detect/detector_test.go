package detect

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Guards against shed load, refusals and cancellation by callers that count against a target.
func TestNoEvidence(t *testing.T) {
	failures := map[verdict.Reason]bool{
		verdict.UpstreamLost: true, verdict.UpstreamTimeout: true, verdict.UpstreamUnreachable: true,
		verdict.AnswerIncomplete: true,
	}
	for _, reason := range verdict.Reasons() {
		s := newService(declaration.PresetDala)
		for range 100 {
			s.outcome(Outcome{Route: page, Failed: true, Reason: reason, FirstByte: time.Hour}, prompt)
		}
		s.exchange()
		if got := s.state().Phase == Suspect; got != failures[reason] {
			t.Errorf("reason %s: suspect %v, want %v", reason, got, failures[reason])
		}
	}
}

// Guards against an ejection for a trouble that all targets share, and against a failing target that is not ejected.
func TestOnlyDifferencesAccuse(t *testing.T) {
	tests := []struct {
		name       string
		own, other Outcome
		want       Phase
	}{
		{"dead", failed, prompt, Suspect},
		{"slow", slow10, prompt, Suspect},
		{"bad caller", failed, failed, Healthy},
		{"slow shared dependency", slow10, slow10, Healthy},
		{"well", prompt, failed, Healthy},
	}
	for _, test := range tests {
		s := newService(declaration.PresetDala)
		for range 10 {
			s.outcome(test.own, test.other)
		}
		if phase := s.state().Phase; phase != Healthy {
			t.Errorf("%s: %s before the comparison", test.name, phase)
		}
		s.exchange()
		if phase := s.state().Phase; phase != test.want {
			t.Errorf("%s: %s, want %s", test.name, phase, test.want)
		}
	}
}

// Guards against a cut-off node that never judges its target.
func TestPatience(t *testing.T) {
	s := newService(declaration.PresetHuon)
	for range 10 {
		s.outcome(failed, prompt)
	}
	if state := s.state(); !state.Waiting || state.Phase != Healthy {
		t.Fatalf("%+v before any news", state)
	}
	s.now += patience
	if phase := s.state().Phase; phase != Suspect {
		t.Errorf("%s after %v without news", phase, patience)
	}
}

// Guards against routes with long first bytes, such as archives, that count as slow, and against routes whose slowness
// hides among them.
func TestLatencyIsJudgedPerRoute(t *testing.T) {
	archive := Outcome{Route: "/archive", FirstByte: 40 * usual25}
	s := newService(declaration.PresetDala)
	for range 20 {
		s.outcome(archive, archive)
	}
	s.exchange()
	for range 100 {
		s.outcome(archive, archive)
	}
	if score := s.state().Score; score != 0 {
		t.Errorf("score %.2f for archives as fast as everywhere", score)
	}
	for range 10 {
		s.outcome(Outcome{Route: page, FirstByte: archive.FirstByte}, prompt)
	}
	s.exchange()
	if phase := s.state().Phase; phase != Suspect {
		t.Errorf("%s with pages as slow as archives", phase)
	}
}

// Guards against a cold start that is taken for slowness.
func TestWarmingTargetMayBeSlow(t *testing.T) {
	s := newService(declaration.PresetDala)
	warming := slow10
	warming.Warming = true
	for range 100 {
		s.outcome(warming, prompt)
	}
	s.exchange()
	if state := s.state(); state.Phase != Healthy || state.Score != 0 {
		t.Errorf("%+v", state)
	}
}

// Guards against probes that acquit, and against probes that convict without any real work.
func TestProbesAccuseOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newService(rapid.SampledFrom([]declaration.Preset{declaration.PresetHuon, declaration.PresetDala}).Draw(t, "preset"))
		for range rapid.IntRange(1, 200).Draw(t, "probes") {
			s.now += step
			before := s.state().Score
			s.detector.Probe(s.now, rapid.Bool().Draw(t, "success"))
			if after := s.state(); after.Score < before || after.Waiting {
				t.Fatalf("score %.2f before the probe, then %+v", before, after)
			}
		}
	})
	s := newService(declaration.PresetHuon)
	for range 100 {
		s.detector.Probe(s.now, false)
	}
	s.outcome(failed, prompt)
	if !s.state().Waiting {
		t.Error("a target that fails its probes is not accused at its first failed request")
	}
}

// Guards against requests that hang without being noticed until they time out, and against hanging requests that are
// held against a target although the others hang as well or many requests were answered in the meantime.
func TestSilence(t *testing.T) {
	hanging := make([]InFlight, 7)
	for i := range hanging {
		hanging[i] = InFlight{Route: page, Waiting: 2 * time.Second}
	}
	alone, shared, busy := newService(declaration.PresetHuon), newService(declaration.PresetHuon), newService(declaration.PresetHuon)
	for _, d := range shared.others {
		d.Silence(shared.now, hanging...)
	}
	for range 3 * historyLength {
		busy.outcome(prompt, prompt)
		busy.now -= step * 9 / 10
	}
	for _, test := range []struct {
		name string
		s    *service
		want Phase
	}{{"alone", alone, Suspect}, {"shared", shared, Healthy}, {"busy", busy, Healthy}} {
		test.s.detector.Silence(test.s.now, hanging...)
		test.s.exchange()
		if phase := test.s.state().Phase; phase != test.want {
			t.Errorf("%s: %s, want %s", test.name, phase, test.want)
		}
	}
}

// Guards against an ejection in the first moments of a trouble that all targets share, when nearly all that the others
// saw since the last report is older than the trouble.
func TestSharedTroubleShowsAtItsFirstRequests(t *testing.T) {
	s := newService(declaration.PresetDala)
	for range 500 {
		s.outcome(prompt, prompt)
	}
	for range 3 {
		s.outcome(failed, prompt)
		s.outcome(failed, failed)
	}
	s.exchange()
	if phase := s.state().Phase; phase != Healthy {
		t.Errorf("%s", phase)
	}
}
