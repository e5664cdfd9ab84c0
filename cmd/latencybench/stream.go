package main

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// streamArchive reads one archive through two daemons and prints their peak memory before and after.
func streamArchive(ctx context.Context, p plan, fleet *fleettest.Fleet, accepting *fleettest.Node) error {
	before, err := peakMemory(fleet)
	if err != nil {
		return err
	}
	client := fleettest.NewClient()
	defer client.Close()
	answer := client.Fetch(ctx, accepting.Callers, fleettest.Request{Path: benchPath, Token: "archive", Size: p.archive})
	if !answer.Complete {
		return errors.Errorf("archive: %s: %v", answer.Outcome(), answer.Err)
	}
	after, err := peakMemory(fleet)
	if err != nil {
		return err
	}
	const mega = 1 << 20
	seconds := answer.Elapsed.Seconds()
	fmt.Printf("\narchive of %d MB: whole in %.2f s, %.0f MB/s\n", answer.Bytes/mega, seconds, float64(answer.Bytes)/mega/seconds)
	for i, node := range fleet.Nodes {
		fmt.Printf("%s: peak memory %.1f MB before, %.1f MB after\n", node.ID, float64(before[i])/mega, float64(after[i])/mega)
	}
	return nil
}

func peakMemory(fleet *fleettest.Fleet) ([]int64, error) {
	var all []int64
	for _, node := range fleet.Nodes {
		peak, err := node.PeakMemory()
		if err != nil {
			return nil, err
		}
		all = append(all, peak)
	}
	return all, nil
}
