package main

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// printTables prints the detection times and false ejections for all selected scenarios and loads.
func (p plan) printTables(out io.Writer, methods []method, alarmRates []float64) error {
	if err := p.printFailingTable(out, methods, alarmRates); err != nil {
		return err
	}
	if err := p.printFlappingTable(out, append([]method{noDetection()}, methods...)); err != nil {
		return err
	}
	return p.printHealthyTable(out, methods)
}

func (p plan) printFailingTable(out io.Writer, methods []method, alarmRates []float64) error {
	fmt.Fprintf(out, "| fault | slots/load | method | missed | bound | evidence mean | ratio | requests mean | p50 | p99 | seconds p50 | p99 | false |\n")
	fmt.Fprintf(out, "|---|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n")
	for _, s := range p.selectScenarios(failingScenarios()) {
		for _, load := range loadLevels() {
			for i, m := range methods {
				sum, err := p.measure(s, load, m)
				if err != nil {
					return err
				}
				bound := lordenBound(s, alarmRates[i])
				if s.flapping {
					bound = math.NaN()
				}
				fmt.Fprintf(out, "| %s | %s | %s | %d/%d | %s | %s | %s | %.1f | %d | %d | %.2f | %.2f | %d |\n",
					s.name, load.name, m.name, sum.missed, sum.runs, formatFigure(alarmRates[i], bound),
					formatFigure(alarmRates[i], sum.meanEvidence()), formatFigure(alarmRates[i], sum.meanEvidence()/bound),
					sum.meanRequests(), sum.requests.ValueAtQuantile(50), sum.requests.ValueAtQuantile(99),
					seconds(sum.delays.ValueAtQuantile(50)), seconds(sum.delays.ValueAtQuantile(99)), sum.falseEjections)
			}
		}
	}
	return nil
}

func seconds(milliseconds int64) float64 { return float64(milliseconds) / 1000 }

// selectScenarios returns the scenarios that match the filter of the plan.
func (p plan) selectScenarios(all []scenario) []scenario {
	var kept []scenario
	for _, s := range all {
		if strings.Contains(s.name, p.filter) {
			kept = append(kept, s)
		}
	}
	return kept
}

// printFlappingTable prints the mean number of requests that fail at a flapping target until the horizon.
func (p plan) printFlappingTable(out io.Writer, methods []method) error {
	fmt.Fprintf(out, "\n| fault over %v | slots/load | method | failed requests at the target, mean |\n|---|---|---|--:|\n", horizon)
	for _, s := range p.selectScenarios(failingScenarios()) {
		if !s.flapping {
			continue
		}
		for _, load := range loadLevels() {
			for _, m := range methods {
				results := p.runTraces(max(1, p.runs/flappingRunsDivisor), func(i int) result {
					return newSimulation(s, load, m, p.seed+uint64(i)*seedStep).run(warmUp+horizon, false)
				})
				failedRequests := 0
				for _, r := range results {
					failedRequests += r.failedRequests
				}
				fmt.Fprintf(out, "| %s | %s | %s | %.1f |\n", s.name, load.name, m.name, float64(failedRequests)/float64(len(results)))
			}
		}
	}
	return nil
}

func (p plan) printHealthyTable(out io.Writer, methods []method) error {
	fmt.Fprintf(out, "\n| no fault | slots/load | method | false ejections | target-days | per target-day |\n")
	fmt.Fprintf(out, "|---|---|---|--:|--:|--:|\n")
	for _, s := range p.selectScenarios(healthyScenarios()) {
		for _, load := range loadLevels() {
			for _, m := range methods {
				sum, err := p.measure(s, load, m)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "| %s | %s | %s | %d | %.2f | %.2f |\n",
					s.name, load.name, m.name, sum.falseEjections, sum.targetDays(), sum.falseEjectionsPerDay())
			}
		}
	}
	return nil
}

// formatFigure formats a number that applies only to methods with a false alarm rate; the others get a dash.
func formatFigure(alarmRate, value float64) string {
	if alarmRate == 0 || math.IsNaN(value) {
		return "-"
	}
	return fmt.Sprintf("%.2f", value)
}
