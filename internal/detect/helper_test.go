package detect

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

const (
	self            model.TargetID = "self"
	page            Route          = "/"
	baselineLatency                = 25 * time.Millisecond
	// step is the time between two outcomes.
	step = 100 * time.Millisecond
)

var (
	prompt = Outcome{Route: page, FirstByte: baselineLatency}
	failed = Outcome{Route: page, Failed: true, Reason: verdict.UpstreamLost}
	slow10 = Outcome{Route: page, FirstByte: 12 * baselineLatency}
)

// service holds the tested detector and the detectors of seven other targets of the same service.
type service struct {
	now      time.Duration
	detector *Detector
	peers    *Peers
	others   [7]*Detector
}

func newService(preset declaration.Preset) *service {
	policy := declaration.Policy{Preset: preset}
	s := &service{detector: New(policy, 0), peers: NewPeers()}
	for i := range s.others {
		s.others[i] = New(policy, 0)
	}
	s.exchangeReports()
	for range 50 {
		s.outcome(prompt, prompt)
	}
	s.exchangeReports()
	return s
}

// outcome passes own to the tested detector and other to the detector of each other target.
func (s *service) outcome(own, other Outcome) {
	s.now += step
	s.detector.Observe(s.now, own)
	for _, d := range s.others {
		d.Observe(s.now, other)
	}
}

func otherID(i int) model.TargetID { return model.TargetID(fmt.Sprint("other-", i)) }

// exchangeReports sends the reports of all targets to all detectors.
func (s *service) exchangeReports() {
	s.now += step
	reports := []Report{s.detector.Report(self)}
	for i, d := range s.others {
		reports = append(reports, d.Report(otherID(i)))
	}
	s.peers.Update(s.now, reports)
	s.detector.CompareWithPeers(s.now, self, s.peers)
	for i, d := range s.others {
		d.CompareWithPeers(s.now, otherID(i), s.peers)
	}
}

func (s *service) state() State { return s.detector.State(s.now) }

// newSuspectedService returns a service whose tested target has just become suspected.
func newSuspectedService(preset declaration.Preset) *service {
	s := newService(preset)
	for range 10 {
		s.outcome(failed, prompt)
	}
	s.exchangeReports()
	return s
}

// outcomeSource generates the outcomes of a target that runs one request at a time.
type outcomeSource struct {
	rng *rand.Rand
	// failureShare is the share of failing requests, latencyFactor multiplies the time to the first byte.
	failureShare, latencyFactor float64
}

func (s outcomeSource) draw() Outcome {
	if s.rng.Float64() < s.failureShare {
		return failed
	}
	first := float64(baselineLatency) * s.latencyFactor * math.Exp(0.5*s.rng.NormFloat64())
	return Outcome{Route: page, FirstByte: time.Duration(first)}
}
