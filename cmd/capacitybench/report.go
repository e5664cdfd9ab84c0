package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// report prints the averages of the daemons over the window.
func report(w io.Writer, window time.Duration, before, after []sample) {
	var processor time.Duration
	var resident, greatest int64
	for i := range after {
		processor += after[i].usage.CPUTime - before[i].usage.CPUTime
		resident += after[i].usage.ResidentBytes
		greatest = max(greatest, after[i].usage.ResidentBytes)
	}
	nodes := float64(len(after))
	fmt.Fprintf(w, "nodes %d\n", len(after))
	fmt.Fprintf(w, "  processor %.2f%% of a core per node\n", 100*processor.Seconds()/window.Seconds()/nodes)
	fmt.Fprintf(w, "  resident %.1f MB per node, at most %.1f MB\n", float64(resident)/nodes/1e6, float64(greatest)/1e6)
	links := func(m *fleettest.Metrics) map[string]int64 { return m.LinkBytes }
	for _, name := range names(after, links) {
		fmt.Fprintf(w, "  %s %.0f B/s per node\n", name, rate(before, after, window, links, name)/nodes)
	}
	calls := func(m *fleettest.Metrics) map[string]int64 { return m.StoreCalls }
	for _, name := range names(after, calls) {
		fmt.Fprintf(w, "  store %s %.2f/s in the fleet\n", name, rate(before, after, window, calls, name))
	}
}

// counters selects one group of a daemon's counters.
type counters func(*fleettest.Metrics) map[string]int64

// names returns the counters of the group that are not zero at some daemon.
func names(samples []sample, group counters) []string {
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

// rate returns the growth of a counter per second, summed over the daemons.
func rate(before, after []sample, window time.Duration, group counters, name string) float64 {
	var sum int64
	for i := range after {
		sum += group(after[i].metrics)[name] - group(before[i].metrics)[name]
	}
	return float64(sum) / window.Seconds()
}
