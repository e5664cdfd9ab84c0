package main

import (
	"fmt"
	"io"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// point is the measured cost of one choice of the false alarm rate and the failure rate.
type point struct {
	policy declaration.Policy
	// errors, dead and slow are the mean numbers of requests to a detection for 30% errors, 100% errors with successful
	// health probes, and 10x slow.
	errors, dead, slow float64
	// falseEjectionRate is the number of false ejections per target-day in the scenarios without a failing target.
	falseEjectionRate float64
	// targetDays is the simulated time over which the false ejections were counted.
	targetDays float64
}

// curvePolicies returns the combinations of error rates to measure.
func curvePolicies() []declaration.Policy {
	var all []declaration.Policy
	for _, failureRate := range []float64{0.2, 0.3, 0.5} {
		for _, alarmRate := range []float64{1e-2, 1e-3, 1e-4, 1e-5, 1e-6, 1e-7, 1e-9, 1e-11} {
			all = append(all, declaration.Policy{FalseAlarmRate: alarmRate, FailureRate: failureRate})
		}
	}
	return all
}

// measureCurve measures the trade-off between detection time and false ejections at 3 slots and high load. It prints
// one line for each policy.
func (p plan) measureCurve(out io.Writer) ([]point, error) {
	fmt.Fprintf(out, "| false alarm rate | failure rate | 30%% errors | dead | 10x slow | false per target-day | target-days |\n")
	fmt.Fprintf(out, "|--:|--:|--:|--:|--:|--:|--:|\n")
	var points []point
	for _, policy := range curvePolicies() {
		measured, err := p.measurePoint(policy)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(out, "| %.0e | %.1f | %.1f | %.1f | %.1f | %.2f | %.2f |\n", policy.FalseAlarmRate,
			policy.FailureRate, measured.errors, measured.dead, measured.slow, measured.falseEjectionRate, measured.targetDays)
		points = append(points, measured)
	}
	return points, nil
}

// measurePoint measures one policy in the failing and the healthy scenarios.
func (p plan) measurePoint(policy declaration.Policy) (point, error) {
	m, load := sequentialTest("", policy), loadLevels()[1]
	measured := point{policy: policy}
	for _, s := range failingScenarios() {
		mean := map[string]*float64{"30% errors": &measured.errors, "probes fine, work fails": &measured.dead, "10x slow": &measured.slow}[s.name]
		if mean == nil {
			continue
		}
		sum, err := p.measure(s, load, m)
		if err != nil {
			return measured, err
		}
		*mean = sum.meanRequests()
	}
	falseEjections := 0
	for _, s := range healthyScenarios() {
		sum, err := p.measure(s, load, m)
		if err != nil {
			return measured, err
		}
		falseEjections += sum.falseEjections
		measured.targetDays += sum.targetDays()
	}
	measured.falseEjectionRate = float64(falseEjections) / measured.targetDays
	return measured, nil
}
