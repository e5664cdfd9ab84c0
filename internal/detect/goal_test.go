package detect

import (
	"math/rand/v2"
	"testing"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

const (
	// goalRatio is the goal for the mean number of requests to a detection, in multiples of Lorden's bound.
	goalRatio = 1.5
	// goalRuns is the number of detections of each fault.
	goalRuns = 400
)

// Guards against a test that needs more than goalRatio times the least number of requests, one request at a time.
func TestDetectionIsNearLordensBound(t *testing.T) {
	tests := []struct {
		name  string
		serve serial
		fault Shares
	}{
		{"dead", serial{failures: 1}, Shares{Failed: 1}},
		{"30% errors", serial{failures: 0.3, factor: 1}, Shares{Prompt: 0.69, Slow: 0.01, Failed: 0.3}},
		{"10x slow", serial{factor: 10}, Shares{Slow: 0.5, Stalled: 0.486, Silent: 0.014}},
	}
	for _, preset := range []declaration.Preset{declaration.PresetHuon, declaration.PresetDala} {
		alarmRate := ParametersOf(declaration.Policy{Preset: preset}).FalseAlarmRate
		for _, test := range tests {
			test.serve.rng = rand.New(rand.NewPCG(1, 2))
			requests := 0
			for range goalRuns {
				requests += requestsToClaim(preset, test.serve)
			}
			mean, least := float64(requests)/goalRuns, LeastRequests(alarmRate, test.fault)
			t.Logf("%s, %s: %.1f requests, bound %.1f, ratio %.2f", preset, test.name, mean, least, mean/least)
			if mean > goalRatio*least {
				t.Errorf("%s, %s: %.1f requests, bound %.1f", preset, test.name, mean, least)
			}
		}
	}
}

func requestsToClaim(preset declaration.Preset, serve serial) int {
	s := newService(preset)
	for n := 1; ; n++ {
		s.now += step
		s.detector.Observe(s.now, serve.draw())
		if s.state().Waiting {
			return n
		}
	}
}

// Guards against more false alarms than the policy's rate, for a target with 1% failures and a usual spread of the time
// to the first byte.
func TestFalseAlarmRate(t *testing.T) {
	const alarmRate, requests = 1e-3, 300_000
	s := newService(declaration.PresetDala)
	s.detector.SetPolicy(declaration.Policy{FalseAlarmRate: alarmRate})
	serve := serial{rng: rand.New(rand.NewPCG(3, 4)), failures: 0.01, factor: 1}
	alarms := 0
	for range requests {
		s.now += step
		s.detector.Observe(s.now, serve.draw())
		if s.state().Waiting {
			alarms++
			s.detector.clear(s.now, 0)
		}
	}
	t.Logf("%d false alarms in %d requests", alarms, requests)
	if float64(alarms) > alarmRate*requests {
		t.Errorf("%d false alarms in %d requests, rate %g", alarms, requests, alarmRate)
	}
}
