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
	self    model.TargetID = "self"
	page    Route          = "/"
	usual25                = 25 * time.Millisecond
	// step is the time between two outcomes.
	step = 100 * time.Millisecond
)

var (
	prompt = Outcome{Route: page, FirstByte: usual25}
	failed = Outcome{Route: page, Failed: true, Reason: verdict.UpstreamLost}
	slow10 = Outcome{Route: page, FirstByte: 12 * usual25}
)

// service is a detector with seven other targets of the same service.
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
	s.exchange()
	for range 50 {
		s.outcome(prompt, prompt)
	}
	s.exchange()
	return s
}

// outcome gives one outcome to the detector and one to each other target.
func (s *service) outcome(own, other Outcome) {
	s.now += step
	s.detector.Observe(s.now, own)
	for _, d := range s.others {
		d.Observe(s.now, other)
	}
}

func otherID(i int) model.TargetID { return model.TargetID(fmt.Sprint("other-", i)) }

// exchange brings the reports of all targets to all detectors.
func (s *service) exchange() {
	s.now += step
	reports := []Report{s.detector.Report(self)}
	for i, d := range s.others {
		reports = append(reports, d.Report(otherID(i)))
	}
	s.peers.Update(s.now, reports)
	s.detector.Baseline(s.now, self, s.peers)
	for i, d := range s.others {
		d.Baseline(s.now, otherID(i), s.peers)
	}
}

func (s *service) state() State { return s.detector.State(s.now) }

// suspected returns a service whose target has just become suspected.
func suspected(preset declaration.Preset) *service {
	s := newService(preset)
	for range 10 {
		s.outcome(failed, prompt)
	}
	s.exchange()
	return s
}

// serial draws the outcomes of a target that runs one request at a time.
type serial struct {
	rng *rand.Rand
	// failures is the share of failing requests, factor multiplies the time to the first byte.
	failures, factor float64
}

func (s serial) draw() Outcome {
	if s.rng.Float64() < s.failures {
		return failed
	}
	first := float64(usual25) * s.factor * math.Exp(0.5*s.rng.NormFloat64())
	return Outcome{Route: page, FirstByte: time.Duration(first)}
}
