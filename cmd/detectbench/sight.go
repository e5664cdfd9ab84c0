package main

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/detect"
)

// sight is the set of reports that an exchange carries.
type sight struct {
	asOf    time.Duration
	reports []detect.Report
}
