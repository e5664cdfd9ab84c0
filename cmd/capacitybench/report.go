package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// report prints the resource usage and the counter rates over the window.
func report(w io.Writer, window time.Duration, before, after []sample) {
	var cpuTime time.Duration
	var resident, maxResident int64
	for i := range after {
		cpuTime += after[i].usage.CPUTime - before[i].usage.CPUTime
		resident += after[i].usage.ResidentBytes
		maxResident = max(maxResident, after[i].usage.ResidentBytes)
	}
	nodes := float64(len(after))
	fmt.Fprintf(w, "nodes %d\n", len(after))
	fmt.Fprintf(w, "  processor %.2f%% of a core per node\n", 100*cpuTime.Seconds()/window.Seconds()/nodes)
	fmt.Fprintf(w, "  resident %.1f MB per node, at most %.1f MB\n", float64(resident)/nodes/1e6, float64(maxResident)/1e6)
	links := func(m *fleettest.Metrics) map[string]int64 { return m.LinkBytes }
	for _, name := range nonZeroNames(after, links) {
		fmt.Fprintf(w, "  %s %.0f B/s per node\n", name, rate(before, after, window, links, name)/nodes)
	}
	calls := func(m *fleettest.Metrics) map[string]int64 { return m.StoreCalls }
	for _, name := range nonZeroNames(after, calls) {
		fmt.Fprintf(w, "  store %s %.2f/s in the fleet\n", name, rate(before, after, window, calls, name))
	}
}

// counterGroup selects one group of the counters of a daemon.
type counterGroup func(*fleettest.Metrics) map[string]int64

// nonZeroNames returns the sorted names of the counters in the group that are not zero on at least one daemon.
func nonZeroNames(samples []sample, group counterGroup) []string {
	found := make(map[string]bool)
	for _, s := range samples {
		for name, count := range group(s.metrics) {
			if count != 0 {
				found[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// rate returns the increase of a counter per second, summed over the daemons.
func rate(before, after []sample, window time.Duration, group counterGroup, name string) float64 {
	var sum int64
	for i := range after {
		sum += group(after[i].metrics)[name] - group(before[i].metrics)[name]
	}
	return float64(sum) / window.Seconds()
}
