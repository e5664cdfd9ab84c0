package main

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

// judge is a method of detection that watches one target.
type judge interface {
	observe(now time.Duration, outcome detect.Outcome)
	silence(now time.Duration, inFlight []detect.InFlight)
	probe(now time.Duration, success bool)
	// compare takes in the reports of all targets.
	compare(now time.Duration, seen *sight)
	report() detect.Report
	// asks reports whether the judge wants reports before the next regular exchange.
	asks(now time.Duration) bool
	suspects(now time.Duration) bool
	// cause names what a suspicion rests on.
	cause(now time.Duration) string
	// tries reports whether a suspected target gets an idempotent request as a trial.
	tries(now time.Duration) bool
}

// method makes the judge of one target.
type method struct {
	name string
	make func(target int) judge
}
