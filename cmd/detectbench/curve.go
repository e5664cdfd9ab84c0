package main

import (
	"fmt"
	"io"

	"github.com/sardinereach/sardinereach/internal/declaration"
)

// point is one choice of the two error rates with what it costs.
type point struct {
	policy declaration.Policy
	// errors, dead and slow are the mean numbers of requests to a detection.
	errors, dead, slow float64
	// wrong is the number of false ejections per target and day over the blameless scenarios.
	wrong float64
	// watched is the time over which they were counted, in target-days.
	watched float64
}

// curvePolicies returns the policies along the trade-off.
func curvePolicies() []declaration.Policy {
	var all []declaration.Policy
	for _, failureRate := range []float64{0.2, 0.3, 0.5} {
		for _, alarmRate := range []float64{1e-2, 1e-3, 1e-4, 1e-5, 1e-6, 1e-7, 1e-9, 1e-11} {
			all = append(all, declaration.Policy{FalseAlarmRate: alarmRate, FailureRate: failureRate})
		}
	}
	return all
}

// curve measures the trade-off at 3 slots and high load, and prints it.
func (p plan) curve(out io.Writer) ([]point, error) {
	fmt.Fprintf(out, "| false alarm rate | failure rate | 30%% errors | dead | 10x slow | false per target-day | target-days |\n")
	fmt.Fprintf(out, "|--:|--:|--:|--:|--:|--:|--:|\n")
	var points []point
	for _, policy := range curvePolicies() {
		one, err := p.point(policy)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(out, "| %.0e | %.1f | %.1f | %.1f | %.1f | %.2f | %.2f |\n", policy.FalseAlarmRate,
			policy.FailureRate, one.errors, one.dead, one.slow, one.wrong, one.watched)
		points = append(points, one)
	}
	return points, nil
}

// point measures one policy.
func (p plan) point(policy declaration.Policy) (point, error) {
	m, t := sequentialTest("", policy), levels()[1]
	one := point{policy: policy}
	for _, s := range failing() {
		into := map[string]*float64{"30% errors": &one.errors, "probes fine, work fails": &one.dead, "10x slow": &one.slow}[s.name]
		if into == nil {
			continue
		}
		sum, err := p.measure(s, t, m)
		if err != nil {
			return one, err
		}
		*into = sum.meanRequests()
	}
	wrong := 0
	for _, s := range blameless() {
		sum, err := p.measure(s, t, m)
		if err != nil {
			return one, err
		}
		wrong += sum.wrong
		one.watched += sum.targetDays()
	}
	one.wrong = float64(wrong) / one.watched
	return one, nil
}
