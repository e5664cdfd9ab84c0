package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

const (
	// linkBytesPerSecond is the capacity of the link between the regions, each way.
	linkBytesPerSecond = 30e6 / 8
	// requestPause is the time between two requests through one node.
	requestPause = 200 * time.Millisecond
)

// workload is one fleet layout with the request that is sent through every node.
type workload struct {
	name   string
	layout fleettest.Layout
	path   string
	bytes  int64
}

// regionBytes counts the bytes that passed between regions, separately for gossip and for forwarded requests.
type regionBytes struct {
	control int64
	traffic int64
}

func (w workload) measure(ctx context.Context, binaries *fleettest.Binaries, settle, window time.Duration) error {
	dir, err := os.MkdirTemp("", "linkbench-")
	if err != nil {
		return errors.Wrap(err, "measure")
	}
	defer os.RemoveAll(dir)
	running, err := fleettest.Start(fleettest.Options{Layout: w.layout, Binaries: binaries, Dir: dir})
	if err != nil {
		return err
	}
	defer running.Close()
	if err := w.prepare(ctx, running, settle); err != nil {
		return err
	}
	for _, phase := range []string{"idle", "traffic"} {
		before, err := countRegionBytes(ctx, running)
		if err != nil {
			return err
		}
		sent, complete, err := w.runPhase(ctx, running, window, phase == "traffic")
		if err != nil {
			return err
		}
		after, err := countRegionBytes(ctx, running)
		if err != nil {
			return err
		}
		w.report(phase, window, before, after, sent, complete)
	}
	return nil
}

func (w workload) prepare(ctx context.Context, running *fleettest.Fleet, settle time.Duration) error {
	if err := running.WaitReady(ctx); err != nil {
		return err
	}
	if err := running.Apply(ctx, running.Nodes[0]); err != nil {
		return err
	}
	if err := running.WaitRoutes(ctx); err != nil {
		return err
	}
	return pause(ctx, settle)
}

// runPhase waits for the window. With traffic set, it sends requests through every node meanwhile.
func (w workload) runPhase(ctx context.Context, running *fleettest.Fleet, window time.Duration, traffic bool) (sent, complete int64, err error) {
	if !traffic {
		return 0, 0, pause(ctx, window)
	}
	limited, cancel := context.WithTimeout(ctx, window)
	defer cancel()
	client := fleettest.NewClient()
	defer client.Close()
	var total, completed atomic.Int64
	var wg sync.WaitGroup
	for _, node := range running.Nodes {
		wg.Go(func() {
			for i := 0; pause(limited, requestPause) == nil; i++ {
				total.Add(1)
				request := fleettest.Request{Path: w.path, Token: fmt.Sprintf("%s-%d", node.ID, i), Size: w.bytes}
				if client.Fetch(ctx, node.Callers, request).Complete {
					completed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return total.Load(), completed.Load(), nil
}

func (w workload) report(phase string, window time.Duration, before, after regionBytes, sent, complete int64) {
	control := float64(after.control-before.control) / window.Seconds()
	traffic := float64(after.traffic-before.traffic) / window.Seconds()
	fmt.Printf("%-6s %-8s %11.0f  %17.3f%%  %11.0f  %8d  %5d\n",
		w.name, phase, control, 100*control/linkBytesPerSecond, traffic, sent, complete)
}

// countRegionBytes sums the bytes that all daemons have sent to and received from the other region. Each connection is
// counted only on the side that opened it.
func countRegionBytes(ctx context.Context, running *fleettest.Fleet) (regionBytes, error) {
	var sum regionBytes
	for _, node := range running.Nodes {
		m, err := node.Metrics(ctx)
		if err != nil {
			return sum, err
		}
		for _, direction := range []string{"sent", "received"} {
			sum.control += m.LinkBytes["exchange_region."+direction]
			sum.traffic += m.LinkBytes["forward_region."+direction]
		}
	}
	return sum, nil
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "pause")
	}
}
