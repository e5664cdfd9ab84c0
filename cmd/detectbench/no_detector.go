package main

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

// noDetector never ejects a target.
type noDetector struct{}

func noDetection() method {
	return method{name: "none", newDetector: func(int) detector { return noDetector{} }}
}

func (noDetector) observe(time.Duration, detect.Outcome)            {}
func (noDetector) observeInFlight(time.Duration, []detect.InFlight) {}
func (noDetector) observeHealthProbe(time.Duration, bool)           {}
func (noDetector) compareWithPeers(time.Duration, *reportSet)       {}
func (noDetector) report() detect.Report                            { return detect.Report{} }
func (noDetector) awaitsReports(time.Duration) bool                 { return false }
func (noDetector) isSuspected(time.Duration) bool                   { return false }
func (noDetector) cause(time.Duration) string                       { return "" }
func (noDetector) beginTrial(time.Duration) bool                    { return false }
