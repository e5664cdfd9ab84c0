package detect

import (
	"math/rand/v2"
	"testing"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

const (
	// goalRatio is the upper limit on the mean number of requests until a detection, in multiples of Lorden's bound.
	goalRatio = 1.5
	// goalRuns is the number of detections per fault.
	goalRuns = 400
)

// Guards against a detector that needs more than goalRatio times the requests of Lorden's bound, with one request at a
// time.
func TestDetectionIsNearLordensBound(t *testing.T) {
	tests := []struct {
		name   string
		source outcomeSource
		fault  Shares
	}{
		{"dead", outcomeSource{failureShare: 1}, Shares{Failed: 1}},
		{"30% errors", outcomeSource{failureShare: 0.3, latencyFactor: 1}, Shares{Prompt: 0.69, Slow: 0.01, Failed: 0.3}},
		{"10x slow", outcomeSource{latencyFactor: 10}, Shares{Slow: 0.5, Stalled: 0.486, Unresponsive: 0.014}},
	}
	for _, preset := range []declaration.Preset{declaration.PresetHuon, declaration.PresetDala} {
		alarmRate := ParametersOf(declaration.Policy{Preset: preset}).FalseAlarmRate
		for _, test := range tests {
			test.source.rng = rand.New(rand.NewPCG(1, 2))
			requests := 0
			for range goalRuns {
				requests += requestsToAlarm(preset, test.source)
			}
			mean, bound := float64(requests)/goalRuns, LordenBound(alarmRate, test.fault)
			t.Logf("%s, %s: %.1f requests, bound %.1f, ratio %.2f", preset, test.name, mean, bound, mean/bound)
			if mean > goalRatio*bound {
				t.Errorf("%s, %s: %.1f requests, bound %.1f", preset, test.name, mean, bound)
			}
		}
	}
}

func requestsToAlarm(preset declaration.Preset, source outcomeSource) int {
	s := newService(preset)
	for n := 1; ; n++ {
		s.now += step
		s.detector.Observe(s.now, source.draw())
		if s.state().AwaitingReports {
			return n
		}
	}
}

// Guards against a false alarm rate above the policy's rate. The target has 1% failures and a normal spread of the time
// to the first byte.
func TestFalseAlarmRate(t *testing.T) {
	const alarmRate, requests = 1e-3, 300_000
	s := newService(declaration.PresetDala)
	s.detector.SetPolicy(declaration.Policy{FalseAlarmRate: alarmRate})
	source := outcomeSource{rng: rand.New(rand.NewPCG(3, 4)), failureShare: 0.01, latencyFactor: 1}
	alarms := 0
	for range requests {
		s.now += step
		s.detector.Observe(s.now, source.draw())
		if s.state().AwaitingReports {
			alarms++
			s.detector.resetEvidence(s.now, 0)
		}
	}
	t.Logf("%d false alarms in %d requests", alarms, requests)
	if float64(alarms) > alarmRate*requests {
		t.Errorf("%d false alarms in %d requests, rate %g", alarms, requests, alarmRate)
	}
}
