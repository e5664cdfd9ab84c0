package main

import (
	"sync"
	"time"
)

const (
	// horizon is the time after the end of the warm-up at which a trace of a failing scenario ends without a detection.
	horizon = 2 * time.Minute
	// flappingRunsDivisor reduces the number of traces of a flapping target, because each of them lasts to the horizon.
	flappingRunsDivisor = 20
	// seedStep is the distance between the seeds of two traces. It avoids overlap with the traces of a nearby plan
	// seed.
	seedStep = 1_000_003
)

// plan configures the measurement.
type plan struct {
	seed uint64
	// runs is the number of traces for each failing scenario.
	runs int
	// length is the length of a trace without a failing target.
	length time.Duration
	// filter selects the scenarios whose name contains it.
	filter string
	// explain is called with a line for each suspicion; nil means none.
	explain func(string)
	// workers is the number of concurrent traces, and the number of traces of each scenario without a failing target.
	workers int
}

// measure returns the summary of one scenario, load and method. Equal plans produce equal summaries.
func (p plan) measure(s scenario, load loadLevel, m method) (*summary, error) {
	runs, end := p.runs, warmUp+horizon
	if !s.failing {
		runs, end = p.workers, p.length
	}
	results := p.runTraces(runs, func(i int) result {
		sim := newSimulation(s, load, m, p.seed+uint64(i)*seedStep)
		sim.explain = p.explain
		return sim.run(end, s.failing)
	})
	sum := newSummary()
	for _, r := range results {
		if err := sum.add(r); err != nil {
			return nil, err
		}
	}
	return sum, nil
}

// runTraces runs the traces, up to p.workers concurrently, and returns their results in order.
func (p plan) runTraces(runs int, trace func(int) result) []result {
	results := make([]result, runs)
	free := make(chan struct{}, p.workers)
	var group sync.WaitGroup
	for i := range runs {
		free <- struct{}{}
		group.Go(func() {
			results[i] = trace(i)
			<-free
		})
	}
	group.Wait()
	return results
}
