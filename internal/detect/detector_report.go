package detect

import (
	"maps"
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// maxReportedRoutes limits the routes in a report, because reports are sent between nodes.
const maxReportedRoutes = 16

// Report returns the data that the detector shares with the service's other nodes.
func (d *Detector) Report(target model.TargetID) Report {
	return Report{
		Target:              target,
		Counts:              d.counts,
		Recent:              d.recent,
		Pending:             d.pendingCounts(),
		HealthProbes:        d.healthProbes.total,
		HealthProbeFailures: d.healthProbes.failures,
		FirstByte:           d.baselineLatencies(),
		Suspected:           d.phase != Healthy,
	}
}

// baselineLatencies returns the baseline latencies of the first maxReportedRoutes routes in sorted order.
func (d *Detector) baselineLatencies() map[Route]time.Duration {
	times := make(map[Route]time.Duration, len(d.baselines))
	for _, route := range slices.Sorted(maps.Keys(d.baselines)) {
		if len(times) == maxReportedRoutes {
			break
		}
		times[route] = d.baselines[route].duration()
	}
	return times
}
