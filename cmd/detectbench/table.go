package main

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// table prints the detection times and false ejections of all scenarios and loads.
func (p plan) table(out io.Writer, methods []method, alarmRates []float64) error {
	if err := p.failingTable(out, methods, alarmRates); err != nil {
		return err
	}
	if err := p.flappingTable(out, append([]method{noDetection()}, methods...)); err != nil {
		return err
	}
	return p.blamelessTable(out, methods)
}

func (p plan) failingTable(out io.Writer, methods []method, alarmRates []float64) error {
	fmt.Fprintf(out, "| fault | slots/load | method | missed | bound | evidence mean | ratio | requests mean | p50 | p99 | seconds p50 | p99 | false |\n")
	fmt.Fprintf(out, "|---|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n")
	for _, s := range p.only(failing()) {
		for _, t := range levels() {
			for i, m := range methods {
				sum, err := p.measure(s, t, m)
				if err != nil {
					return err
				}
				least := leastRequests(s, alarmRates[i])
				if s.flaps {
					least = math.NaN()
				}
				fmt.Fprintf(out, "| %s | %s | %s | %d/%d | %s | %s | %s | %.1f | %d | %d | %.2f | %.2f | %d |\n",
					s.name, t.name, m.name, sum.missed, sum.runs, figure(alarmRates[i], least),
					figure(alarmRates[i], sum.meanEvidence()), figure(alarmRates[i], sum.meanEvidence()/least),
					sum.meanRequests(), sum.requests.ValueAtQuantile(50), sum.requests.ValueAtQuantile(99),
					seconds(sum.delays.ValueAtQuantile(50)), seconds(sum.delays.ValueAtQuantile(99)), sum.wrong)
			}
		}
	}
	return nil
}

// seconds converts milliseconds.
func seconds(milliseconds int64) float64 { return float64(milliseconds) / 1000 }

// only returns the scenarios that the plan asks for.
func (p plan) only(all []scenario) []scenario {
	var kept []scenario
	for _, s := range all {
		if strings.Contains(s.name, p.filter) {
			kept = append(kept, s)
		}
	}
	return kept
}

// flappingTable prints how many requests fail at a flapping target in a whole run, with its ejections and returns.
func (p plan) flappingTable(out io.Writer, methods []method) error {
	fmt.Fprintf(out, "\n| fault over %v | slots/load | method | failed requests at the target, mean |\n|---|---|---|--:|\n", horizon)
	for _, s := range p.only(failing()) {
		if !s.flaps {
			continue
		}
		for _, t := range levels() {
			for _, m := range methods {
				results := p.results(max(1, p.runs/flappingShare), func(i int) result {
					return newWorld(s, t, m, p.seed+uint64(i)*seedStep).until(warmUp+horizon, false)
				})
				spoilt := 0
				for _, r := range results {
					spoilt += r.spoilt
				}
				fmt.Fprintf(out, "| %s | %s | %s | %.1f |\n", s.name, t.name, m.name, float64(spoilt)/float64(len(results)))
			}
		}
	}
	return nil
}

func (p plan) blamelessTable(out io.Writer, methods []method) error {
	fmt.Fprintf(out, "\n| no fault | slots/load | method | false ejections | target-days | per target-day |\n")
	fmt.Fprintf(out, "|---|---|---|--:|--:|--:|\n")
	for _, s := range p.only(blameless()) {
		for _, t := range levels() {
			for _, m := range methods {
				sum, err := p.measure(s, t, m)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "| %s | %s | %s | %d | %.2f | %.2f |\n",
					s.name, t.name, m.name, sum.wrong, sum.targetDays(), sum.wrongPerDay())
			}
		}
	}
	return nil
}

// figure prints a number that exists only for a method with a false alarm rate.
func figure(alarmRate, value float64) string {
	if alarmRate == 0 || math.IsNaN(value) {
		return "-"
	}
	return fmt.Sprintf("%.2f", value)
}
