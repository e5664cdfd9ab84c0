package detect

import (
	"maps"
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// reportedRoutes bounds the routes of a report, which is exchanged between nodes.
const reportedRoutes = 16

// Report returns what the detector shares with the service's other nodes.
func (d *Detector) Report(target model.TargetID) Report {
	return Report{
		Target:        target,
		Counts:        d.counts,
		Recent:        d.recent,
		Pending:       d.pendingCounts(),
		Probes:        d.probes.total,
		ProbeFailures: d.probes.failures,
		FirstByte:     d.usualTimes(),
		Suspect:       d.phase != Healthy,
	}
}

// usualTimes returns the usual times of the first routes in order.
func (d *Detector) usualTimes() map[Route]time.Duration {
	times := make(map[Route]time.Duration, len(d.usual))
	for _, route := range slices.Sorted(maps.Keys(d.usual)) {
		if len(times) == reportedRoutes {
			break
		}
		times[route] = d.usual[route].duration()
	}
	return times
}
