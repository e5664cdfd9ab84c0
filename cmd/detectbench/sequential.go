package main

import (
	"fmt"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/detect"
	"github.com/sardinereach/sardinereach/internal/model"
)

// sequential is the project's detector.
type sequential struct {
	id       model.TargetID
	detector *detect.Detector
	peers    *detect.Peers
}

// sequentialTest returns the method with a policy.
func sequentialTest(name string, policy declaration.Policy) method {
	return method{name: name, make: func(target int) judge {
		return &sequential{id: targetID(target), detector: detect.New(policy, 0), peers: detect.NewPeers()}
	}}
}

func targetID(target int) model.TargetID { return model.TargetID(fmt.Sprintf("target-%d", target)) }

func (s *sequential) observe(now time.Duration, outcome detect.Outcome) {
	s.detector.Observe(now, outcome)
}

func (s *sequential) silence(now time.Duration, inFlight []detect.InFlight) {
	s.detector.ObserveInFlight(now, inFlight...)
}

func (s *sequential) probe(now time.Duration, success bool) {
	s.detector.ObserveHealthProbe(now, success)
}

func (s *sequential) compare(now time.Duration, seen *sight) {
	s.peers.Update(seen.asOf, seen.reports)
	s.detector.CompareWithPeers(now, s.id, s.peers)
}

func (s *sequential) report() detect.Report { return s.detector.Report(s.id) }

func (s *sequential) asks(now time.Duration) bool { return s.detector.State(now).AwaitingReports }

func (s *sequential) suspects(now time.Duration) bool {
	return s.detector.State(now).Phase != detect.Healthy
}

func (s *sequential) tries(now time.Duration) bool { return s.detector.BeginTrial(now, true) }

func (s *sequential) cause(now time.Duration) string { return s.detector.State(now).Hypothesis }
