package main

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

// reportSet holds the reports of all targets at one time.
type reportSet struct {
	asOf    time.Duration
	reports []detect.Report
}
