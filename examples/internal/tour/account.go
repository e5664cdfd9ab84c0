package tour

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// account prints the counts and adds what the upstreams' run logs contradict to the faults.
func (t *tour) account(ctx context.Context) error {
	for _, flow := range []*traffic{t.small, t.bulk, t.operations} {
		t.say("%-16s sent %4d, answered whole %4d, %6.1f MB, else: %s", flow.flow.What, flow.tally.sent,
			flow.tally.outcomes["whole"], float64(flow.tally.bytes)/(1<<20), others(flow.tally.outcomes))
	}
	if err := t.accountMetrics(ctx); err != nil {
		return err
	}
	return t.accountRuns()
}

// accountMetrics prints what the nodes counted since the traffic began.
func (t *tour) accountMetrics(ctx context.Context) error {
	now, err := t.countReasons(ctx)
	if err != nil {
		return err
	}
	t.say("retried by reason: %s", counts(now.retries.since(t.before.retries)))
	t.say("refused by reason: %s", counts(now.refusals.since(t.before.refusals)))
	return nil
}

// countReasons adds up the counters of all nodes.
func (t *tour) countReasons(ctx context.Context) (reasons, error) {
	sum := reasons{retries: tallies{}, refusals: tallies{}}
	for _, node := range t.fleet.Nodes {
		metrics, err := node.Metrics(ctx)
		if err != nil {
			return sum, err
		}
		sum.retries.add(metrics.Retries)
		sum.refusals.add(metrics.Refusals)
	}
	return sum, nil
}

// accountRuns checks the operations against the upstreams' own records.
func (t *tour) accountRuns() error {
	runs, err := t.fleet.Runs()
	if err != nil {
		return err
	}
	duplicates := 0
	for operation, list := range runs {
		if len(list) > 1 {
			duplicates++
			t.faults = append(t.faults, fmt.Sprintf("%s ran %d times", operation, len(list)))
		}
	}
	for _, operation := range t.operations.tally.whole {
		if len(runs[operation]) == 0 {
			t.faults = append(t.faults, operation+" was answered and did not run")
		}
	}
	for _, operation := range t.operations.tally.refused {
		if len(runs[operation]) > 0 {
			t.faults = append(t.faults, operation+" was refused as not run and ran")
		}
	}
	t.say("operations that ran: %d, duplicates = %d", len(runs), duplicates)
	return nil
}

// verdict returns an error if any promise did not hold.
func (t *tour) verdict() error {
	faults := slices.Clone(t.faults)
	for _, flow := range []*traffic{t.small, t.bulk, t.operations} {
		faults = append(faults, flow.tally.faults...)
	}
	if len(faults) == 0 {
		t.say("all promises held")
		return nil
	}
	return errors.Errorf("%d faults:\n%s", len(faults), strings.Join(faults, "\n"))
}

func others(outcomes map[string]int) string {
	rest := maps.Clone(outcomes)
	delete(rest, "whole")
	return counts(rest)
}

// counts returns the non-zero counts in order of their names.
func counts(values map[string]int) string {
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
