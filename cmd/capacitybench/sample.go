package main

import (
	"context"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// sample is the resource usage and the counters of one daemon since its start.
type sample struct {
	usage   fleettest.Usage
	metrics *fleettest.Metrics
}

func sampleAll(ctx context.Context, fleet *fleettest.Fleet) ([]sample, error) {
	samples := make([]sample, len(fleet.Nodes))
	for i, node := range fleet.Nodes {
		usage, err := node.Usage()
		if err != nil {
			return nil, err
		}
		metrics, err := node.Metrics(ctx)
		if err != nil {
			return nil, err
		}
		samples[i] = sample{usage: usage, metrics: metrics}
	}
	return samples, nil
}
