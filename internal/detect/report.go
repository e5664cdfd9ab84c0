package detect

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Report is what the admitting node of a target shares about it with the nodes of the service's other targets.
type Report struct {
	Target model.TargetID `json:"target"`
	// Counts holds the outcomes since the detector started. It only grows; a smaller total means that the detector
	// started again.
	Counts Counts `json:"counts"`
	// Recent holds the last outcomes with weights that fall by recentDecay for each later one. It shows a trouble of the
	// whole service at its first requests, which are few among those since the last report.
	Recent Counts `json:"recent"`
	// Pending holds the requests in flight that are stalled or silent now.
	Pending Counts `json:"pending"`
	// Probes and ProbeFailures count probes since the detector started.
	Probes        float64 `json:"probes,omitempty"`
	ProbeFailures float64 `json:"probe_failures,omitempty"`
	// FirstByte holds the usual time to the first byte of the routes that were used most recently.
	FirstByte map[Route]time.Duration `json:"first_byte_ns,omitempty"`
	// Suspect means that the target is suspected; its counts say nothing about healthy targets.
	Suspect bool `json:"suspect,omitempty"`
}

// ReportOf returns the report that the counters of a target's record allow. It has no classes of latency, so the
// detector then finds failures and silence, not slowness.
func ReportOf(target model.Target) Report {
	return Report{
		Target:  target.ID,
		Counts:  Counts{Prompt: float64(target.Successes), Failed: float64(target.Failures)},
		Suspect: target.Suspected || target.Missing,
	}
}
