package main

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

const (
	// consecutiveLimit is the number of consecutive failures at which the target is ejected.
	consecutiveLimit = 5
	// baselineEjectionTime is the time for which both baseline methods eject a target.
	baselineEjectionTime = 30 * time.Second
)

// consecutiveDetector is the baseline method that ejects a target after consecutiveLimit consecutive failures.
type consecutiveDetector struct {
	failures     int
	ejectedUntil time.Duration
}

func consecutiveFailures() method {
	return method{name: "consecutive", newDetector: func(int) detector { return new(consecutiveDetector) }}
}

func (c *consecutiveDetector) observe(now time.Duration, outcome detect.Outcome) {
	if isIgnored(outcome) || c.isSuspected(now) {
		return
	}
	if !outcome.Failed {
		c.failures = 0
		return
	}
	c.failures++
	if c.failures >= consecutiveLimit {
		c.ejectedUntil = now + baselineEjectionTime
		c.failures = 0
	}
}

func (c *consecutiveDetector) observeInFlight(time.Duration, []detect.InFlight) {}
func (c *consecutiveDetector) observeHealthProbe(time.Duration, bool)           {}
func (c *consecutiveDetector) compareWithPeers(time.Duration, *reportSet)       {}
func (c *consecutiveDetector) report() detect.Report                            { return detect.Report{} }
func (c *consecutiveDetector) awaitsReports(time.Duration) bool                 { return false }
func (c *consecutiveDetector) isSuspected(now time.Duration) bool               { return now < c.ejectedUntil }
func (c *consecutiveDetector) beginTrial(time.Duration) bool                    { return false }

func (c *consecutiveDetector) cause(time.Duration) string { return "consecutive failures" }
