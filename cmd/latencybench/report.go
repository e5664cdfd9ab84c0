package main

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
)

const (
	// microsPerMilli converts histogram values to milliseconds.
	microsPerMilli = 1000.0
	medianPercent  = 50.0
	tailPercent    = 99.0
)

// report prints the figures of each path, then the latency that the plain hops and the fleet add to the direct path.
// The order of paths is direct, plain hops, fleet.
func report(to io.Writer, paths []*path) {
	fmt.Fprintf(to, "%d CPUs, %s\n\n", runtime.NumCPU(), runtime.Version())
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "callers\tpath\tp50 ms\tp99 ms\tanswers/s\tanswers\tfailed\t")
	for _, callers := range concurrencyLevels {
		for _, p := range paths {
			s := p.samples[callers]
			fmt.Fprintf(table, "%d\t%s\t%.3f\t%.3f\t%.0f\t%d\t%v\t\n", callers, p.name,
				quantileMS(s, medianPercent), quantileMS(s, tailPercent), s.throughput(), s.latency.TotalCount(), s.failures)
		}
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "callers\tadded by\tp50 ms\tp99 ms\tratio p50\tratio p99\tratio answers/s\t")
	for _, callers := range concurrencyLevels {
		direct, plain, fleet := paths[0].samples[callers], paths[1].samples[callers], paths[2].samples[callers]
		fmt.Fprintf(table, "%d\tplain hops\t%.3f\t%.3f\t\t\t\t\n", callers, addedMS(plain, direct, medianPercent), addedMS(plain, direct, tailPercent))
		fmt.Fprintf(table, "%d\tfleet\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t\n", callers,
			addedMS(fleet, direct, medianPercent), addedMS(fleet, direct, tailPercent),
			addedMS(fleet, direct, medianPercent)/addedMS(plain, direct, medianPercent),
			addedMS(fleet, direct, tailPercent)/addedMS(plain, direct, tailPercent),
			fleet.throughput()/plain.throughput())
	}
	table.Flush()
}

// quantileMS returns the latency quantile in milliseconds.
func quantileMS(s *sample, percent float64) float64 {
	return float64(s.latency.ValueAtQuantile(percent)) / microsPerMilli
}

// addedMS returns by how many milliseconds the quantile of s exceeds that of the direct path.
func addedMS(s, direct *sample, percent float64) float64 {
	return quantileMS(s, percent) - quantileMS(direct, percent)
}
