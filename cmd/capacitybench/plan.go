package main

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// plan is the timing of one run.
type plan struct {
	// settle is the time from readiness to the measurement.
	settle time.Duration
	// window is the length of the measurement.
	window time.Duration
}

// measure starts a fleet of the given size and samples its daemons at the start and the end of the window.
func (p plan) measure(ctx context.Context, binaries *fleettest.Binaries, size int) (before, after []sample, err error) {
	dir, err := os.MkdirTemp("", "capacitybench-")
	if err != nil {
		return nil, nil, errors.Wrap(err, "measure")
	}
	defer os.RemoveAll(dir)
	fleet, err := fleettest.Start(fleettest.Options{Layout: layoutOf(size), Binaries: binaries, Dir: dir})
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	if err := waitAndDeclare(ctx, fleet); err != nil {
		return nil, nil, err
	}
	if err := pause(ctx, p.settle); err != nil {
		return nil, nil, err
	}
	if before, err = sampleAll(ctx, fleet); err != nil {
		return nil, nil, err
	}
	if err := pause(ctx, p.window); err != nil {
		return nil, nil, err
	}
	after, err = sampleAll(ctx, fleet)
	return before, after, err
}

func waitAndDeclare(ctx context.Context, fleet *fleettest.Fleet) error {
	if err := fleet.WaitReady(ctx); err != nil {
		return err
	}
	return fleet.Declare(ctx)
}

// layoutOf returns a layout with one service in four failure domains of two regions.
func layoutOf(size int) fleettest.Layout {
	return fleettest.Layout{
		Domains: []fleettest.Domain{
			{Name: "hobart-a", Region: "tas-south"}, {Name: "hobart-b", Region: "tas-south"},
			{Name: "launceston-a", Region: "tas-north"}, {Name: "launceston-b", Region: "tas-north"},
		},
		Services: []fleettest.Service{{Name: "reads", Targets: size, Slots: slots, Path: "/reads"}},
		Declarations: `declare service reads {
  policy huon;
  route GET "/reads" { timeout 20s; }
}
`,
	}
}

// slots is the number of slots of each target.
const slots = 7

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "measure")
	}
}
