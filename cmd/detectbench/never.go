package main

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

// never is the method that ejects nothing.
type never struct{}

func noDetection() method {
	return method{name: "none", make: func(int) judge { return never{} }}
}

func (never) observe(time.Duration, detect.Outcome)    {}
func (never) silence(time.Duration, []detect.InFlight) {}
func (never) probe(time.Duration, bool)                {}
func (never) compare(time.Duration, *sight)            {}
func (never) report() detect.Report                    { return detect.Report{} }
func (never) asks(time.Duration) bool                  { return false }
func (never) suspects(time.Duration) bool              { return false }
func (never) cause(time.Duration) string               { return "" }
func (never) tries(time.Duration) bool                 { return false }
