package detect

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Report holds the detector data of a target. The target's admitting node sends it to the nodes of the service's other
// targets.
type Report struct {
	Target model.TargetID `json:"target"`
	// Counts holds the outcomes since the detector started. It never decreases; a smaller total means that the detector
	// restarted.
	Counts Counts `json:"counts"`
	// Recent holds the last outcomes, with weights that decrease by recentDecay for each later one. It reveals a fault
	// of the whole service at the first affected requests, which are few compared with those since the last report.
	Recent Counts `json:"recent"`
	// Pending holds the requests in flight that are currently stalled or unresponsive.
	Pending Counts `json:"pending"`
	// HealthProbes and HealthProbeFailures count all and failed health probes since the detector started.
	HealthProbes        float64 `json:"probes,omitempty"`
	HealthProbeFailures float64 `json:"probe_failures,omitempty"`
	// FirstByte holds the baseline latency, the estimated normal time to the first byte, of up to maxReportedRoutes
	// routes.
	FirstByte map[Route]time.Duration `json:"first_byte_ns,omitempty"`
	// Suspected means that the target is suspected; its counts are not used as a reference for healthy targets.
	Suspected bool `json:"suspect,omitempty"`
}

// ReportOf returns a report with the counters of a target's record. The counters have no latency classes, so with such
// reports the detector finds failed and unresponsive targets, but not slow ones.
func ReportOf(target model.Target) Report {
	return Report{
		Target:    target.ID,
		Counts:    Counts{Prompt: float64(target.Successes), Failed: float64(target.Failures)},
		Suspected: target.Suspected || target.Missing,
	}
}
