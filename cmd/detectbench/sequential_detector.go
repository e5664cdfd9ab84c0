package main

import (
	"fmt"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/detect"
	"github.com/sardinereach/sardinereach/internal/model"
)

// sequentialDetector is the failure detector of package detect, a sequential test.
type sequentialDetector struct {
	id       model.TargetID
	detector *detect.Detector
	peers    *detect.Peers
}

// sequentialTest returns the method that runs package detect with a policy.
func sequentialTest(name string, policy declaration.Policy) method {
	return method{name: name, newDetector: func(target int) detector {
		return &sequentialDetector{id: targetID(target), detector: detect.New(policy, 0), peers: detect.NewPeers()}
	}}
}

func targetID(target int) model.TargetID { return model.TargetID(fmt.Sprintf("target-%d", target)) }

func (s *sequentialDetector) observe(now time.Duration, outcome detect.Outcome) {
	s.detector.Observe(now, outcome)
}

func (s *sequentialDetector) observeInFlight(now time.Duration, inFlight []detect.InFlight) {
	s.detector.ObserveInFlight(now, inFlight...)
}

func (s *sequentialDetector) observeHealthProbe(now time.Duration, success bool) {
	s.detector.ObserveHealthProbe(now, success)
}

func (s *sequentialDetector) compareWithPeers(now time.Duration, set *reportSet) {
	s.peers.Update(set.asOf, set.reports)
	s.detector.CompareWithPeers(now, s.id, s.peers)
}

func (s *sequentialDetector) report() detect.Report { return s.detector.Report(s.id) }

func (s *sequentialDetector) awaitsReports(now time.Duration) bool {
	return s.detector.State(now).AwaitingReports
}

func (s *sequentialDetector) isSuspected(now time.Duration) bool {
	return s.detector.State(now).Phase != detect.Healthy
}

func (s *sequentialDetector) beginTrial(now time.Duration) bool {
	return s.detector.BeginTrial(now, true)
}

func (s *sequentialDetector) cause(now time.Duration) string { return s.detector.State(now).Hypothesis }
