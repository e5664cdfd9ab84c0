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
	median         = 50.0
	tail           = 99.0
)

// report prints each path's figures, then what the hops add to the direct path. paths are direct, plain hops, fleet.
func report(to io.Writer, paths []*path) {
	fmt.Fprintf(to, "%d CPUs, %s\n\n", runtime.NumCPU(), runtime.Version())
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "callers\tpath\tp50 ms\tp99 ms\tanswers/s\tanswers\tfailed\t")
	for _, callers := range concurrencies {
		for _, p := range paths {
			s := p.samples[callers]
			fmt.Fprintf(table, "%d\t%s\t%.3f\t%.3f\t%.0f\t%d\t%v\t\n", callers, p.name,
				at(s, median), at(s, tail), s.throughput(), s.latency.TotalCount(), s.failed)
		}
	}
	fmt.Fprintln(table)
	fmt.Fprintln(table, "callers\tadded by\tp50 ms\tp99 ms\tratio p50\tratio p99\tratio answers/s\t")
	for _, callers := range concurrencies {
		direct, plain, fleet := paths[0].samples[callers], paths[1].samples[callers], paths[2].samples[callers]
		fmt.Fprintf(table, "%d\tplain hops\t%.3f\t%.3f\t\t\t\t\n", callers, added(plain, direct, median), added(plain, direct, tail))
		fmt.Fprintf(table, "%d\tfleet\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t\n", callers,
			added(fleet, direct, median), added(fleet, direct, tail),
			added(fleet, direct, median)/added(plain, direct, median),
			added(fleet, direct, tail)/added(plain, direct, tail),
			fleet.throughput()/plain.throughput())
	}
	table.Flush()
}

// at returns the quantile in milliseconds.
func at(s *sample, percent float64) float64 {
	return float64(s.latency.ValueAtQuantile(percent)) / microsPerMilli
}

// added returns the difference of the same quantile of two paths in milliseconds.
func added(s, direct *sample, percent float64) float64 { return at(s, percent) - at(direct, percent) }
