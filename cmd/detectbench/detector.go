package main

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

// detector is one failure detector for one target.
type detector interface {
	observe(now time.Duration, outcome detect.Outcome)
	observeInFlight(now time.Duration, inFlight []detect.InFlight)
	observeHealthProbe(now time.Duration, success bool)
	// compareWithPeers processes the reports of all targets.
	compareWithPeers(now time.Duration, set *reportSet)
	report() detect.Report
	// awaitsReports reports whether the detector needs reports before the next regular collection.
	awaitsReports(now time.Duration) bool
	isSuspected(now time.Duration) bool
	// cause names the evidence for which the target is suspected.
	cause(now time.Duration) string
	// beginTrial reports whether a suspected target may receive an idempotent request as a trial request now.
	beginTrial(now time.Duration) bool
}

// method is a detection method under comparison.
type method struct {
	name        string
	newDetector func(target int) detector
}
