package main

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

const (
	// consecutiveLimit is the number of failures in a row at which the baseline ejects.
	consecutiveLimit = 5
	// baselineHold is the time for which the baselines eject a target.
	baselineHold = 30 * time.Second
)

// consecutive is the baseline that ejects after a number of failures in a row.
type consecutive struct {
	failures int
	until    time.Duration
}

func consecutiveFailures() method {
	return method{name: "consecutive", make: func(int) judge { return new(consecutive) }}
}

func (c *consecutive) observe(now time.Duration, outcome detect.Outcome) {
	if ignored(outcome) || c.suspects(now) {
		return
	}
	if !outcome.Failed {
		c.failures = 0
		return
	}
	c.failures++
	if c.failures >= consecutiveLimit {
		c.until = now + baselineHold
		c.failures = 0
	}
}

func (c *consecutive) silence(time.Duration, []detect.InFlight) {}
func (c *consecutive) probe(time.Duration, bool)                {}
func (c *consecutive) compare(time.Duration, *sight)            {}
func (c *consecutive) report() detect.Report                    { return detect.Report{} }
func (c *consecutive) asks(time.Duration) bool                  { return false }
func (c *consecutive) suspects(now time.Duration) bool          { return now < c.until }
func (c *consecutive) tries(time.Duration) bool                 { return false }

func (c *consecutive) cause(time.Duration) string { return "consecutive failures" }
