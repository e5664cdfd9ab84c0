package main

import (
	"sync"
	"time"
)

const (
	// horizon is the time after the onset at which a run ends without a detection.
	horizon = 2 * time.Minute
	// flappingShare divides the number of runs of a flapping target, which last to the horizon.
	flappingShare = 20
	// seedStep keeps the seeds of the runs of a cell apart from those of other cells with a near seed.
	seedStep = 1_000_003
)

// plan says how much is measured.
type plan struct {
	seed uint64
	// runs is the number of traces for each failing scenario.
	runs int
	// length is the length of a trace of a blameless scenario.
	length time.Duration
	// filter keeps the scenarios whose name contains it.
	filter string
	// explain gets a line for each suspicion, unless it is nil.
	explain func(string)
	// workers is the number of traces that run at a time.
	workers int
}

// measure returns the summary of one scenario, load and method. Equal plans give equal summaries.
func (p plan) measure(s scenario, t traffic, m method) (*summary, error) {
	runs, end := p.runs, warmUp+horizon
	if !s.failing {
		runs, end = p.workers, p.length
	}
	results := p.results(runs, func(i int) result {
		w := newWorld(s, t, m, p.seed+uint64(i)*seedStep)
		w.explain = p.explain
		return w.until(end, s.failing)
	})
	sum := newSummary()
	for _, r := range results {
		if err := sum.add(r); err != nil {
			return nil, err
		}
	}
	return sum, nil
}

// results runs the traces, a few at a time, and returns their results in order.
func (p plan) results(runs int, trace func(int) result) []result {
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
