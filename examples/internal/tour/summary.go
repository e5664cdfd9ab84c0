package tour

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// summarize prints the counts. It adds a violation for each operation whose responses contradict the run logs of the
// upstreams.
func (r *runner) summarize(ctx context.Context) error {
	for _, flow := range []*traffic{r.small, r.bulk, r.operations} {
		r.printf("%-16s sent %4d, answered whole %4d, %6.1f MB, else: %s", flow.flow.Label, flow.tally.sent,
			flow.tally.outcomes["whole"], float64(flow.tally.bytes)/(1<<20), incompleteOutcomes(flow.tally.outcomes))
	}
	if err := r.printCounters(ctx); err != nil {
		return err
	}
	return r.checkRuns()
}

// printCounters prints the increase of the counters of the nodes since the start of the traffic.
func (r *runner) printCounters(ctx context.Context) error {
	now, err := r.readCounters(ctx)
	if err != nil {
		return err
	}
	r.printf("retried by reason: %s", formatCounts(now.retries.since(r.initialCounters.retries)))
	r.printf("refused by reason: %s", formatCounts(now.refusals.since(r.initialCounters.refusals)))
	return nil
}

// readCounters returns the sums of the counters of all nodes.
func (r *runner) readCounters(ctx context.Context) (nodeCounters, error) {
	sum := nodeCounters{retries: reasonCounts{}, refusals: reasonCounts{}}
	for _, node := range r.fleet.Nodes {
		metrics, err := node.Metrics(ctx)
		if err != nil {
			return sum, err
		}
		sum.retries.add(metrics.Retries)
		sum.refusals.add(metrics.Refusals)
	}
	return sum, nil
}

// checkRuns compares the operations with the run logs of the upstreams. An operation may run at most once, must have
// run if its response was complete, and must not have run if it was refused.
func (r *runner) checkRuns() error {
	runs, err := r.fleet.Runs()
	if err != nil {
		return err
	}
	duplicates := 0
	for operation, list := range runs {
		if len(list) > 1 {
			duplicates++
			r.violations = append(r.violations, fmt.Sprintf("%s ran %d times", operation, len(list)))
		}
	}
	for _, operation := range r.operations.tally.complete {
		if len(runs[operation]) == 0 {
			r.violations = append(r.violations, operation+" did not run, but its response was complete")
		}
	}
	for _, operation := range r.operations.tally.refused {
		if len(runs[operation]) > 0 {
			r.violations = append(r.violations, operation+" ran, but was refused as not run")
		}
	}
	r.printf("operations that ran: %d, duplicates = %d", len(runs), duplicates)
	return nil
}

// result returns an error that lists all violations, nil if there are none.
func (r *runner) result() error {
	violations := slices.Clone(r.violations)
	for _, flow := range []*traffic{r.small, r.bulk, r.operations} {
		violations = append(violations, flow.tally.violations...)
	}
	if len(violations) == 0 {
		r.printf("all promises held")
		return nil
	}
	return errors.Errorf("%d violations:\n%s", len(violations), strings.Join(violations, "\n"))
}

func incompleteOutcomes(outcomes map[string]int) string {
	rest := maps.Clone(outcomes)
	delete(rest, "whole")
	return formatCounts(rest)
}

// formatCounts returns the non-zero counts ordered by name.
func formatCounts(values map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if values[name] > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", name, values[name]))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
