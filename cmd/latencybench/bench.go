package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

const (
	// benchSlots is large enough that admission never limits the measured throughput.
	benchSlots = 256
	benchPath  = "/bench"
)

const declaration = `declare service bench {
  policy huon;
  route GET "/bench" { timeout 60s; }
}
`

// bench starts a fleet and the plain hops, measures all paths and prints the report.
func bench(ctx context.Context, p plan) error {
	dir, err := os.MkdirTemp("", "latencybench-")
	if err != nil {
		return errors.Wrap(err, "bench")
	}
	defer os.RemoveAll(dir)
	binaries, err := fleettest.Build(ctx)
	if err != nil {
		return err
	}
	defer binaries.Remove()
	fleet, accepting, err := startFleet(ctx, dir, binaries)
	if err != nil {
		return err
	}
	defer fleet.Close()
	upstream := fleet.Upstreams[0]
	baseline, stop, err := startHops(upstream.Address())
	if err != nil {
		return err
	}
	defer stop()
	paths := []*path{
		newPath("direct", upstream.Address()),
		newPath("plain hops", baseline),
		newPath("fleet", accepting.Callers),
	}
	if err := waitForPaths(ctx, paths); err != nil {
		return err
	}
	if err := measure(ctx, p, paths); err != nil {
		return err
	}
	report(os.Stdout, paths)
	return streamArchive(ctx, p, fleet, accepting)
}

// startFleet starts two daemons and returns the accepting one. The only target is a local target of the other daemon,
// so each request makes two hops.
func startFleet(ctx context.Context, dir string, binaries *fleettest.Binaries) (*fleettest.Fleet, *fleettest.Node, error) {
	domain := fleettest.Domain{Name: "hobart-a", Region: "tas-south"}
	fleet, err := fleettest.Start(fleettest.Options{
		Binaries: binaries,
		Dir:      dir,
		Layout: fleettest.Layout{
			Domains:      []fleettest.Domain{domain},
			Services:     []fleettest.Service{{Name: "bench", Targets: 1, Slots: benchSlots, Path: benchPath}},
			Declarations: declaration,
		},
	})
	if err != nil {
		return nil, nil, err
	}
	accepting, err := fleet.AddNode("node-accepting", domain)
	if err == nil {
		err = fleet.WaitReady(ctx)
	}
	if err == nil {
		err = fleet.Apply(ctx, fleet.Nodes[0])
	}
	if err != nil {
		fleet.Close()
		return nil, nil, err
	}
	return fleet, accepting, nil
}

// startHops starts two plain hops, each in its own process like the daemons, and returns the address of the first hop.
func startHops(upstream string) (string, func(), error) {
	self, err := os.Executable()
	if err != nil {
		return "", nil, errors.Wrap(err, "hops")
	}
	addresses, err := fleettest.FreeAddresses(2)
	if err != nil {
		return "", nil, err
	}
	var started []*exec.Cmd
	stop := func() {
		for _, cmd := range started {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	for i, next := range []string{upstream, addresses[0]} {
		cmd := exec.Command(self, "-hop", fmt.Sprintf("%s,%s", addresses[i], next))
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			stop()
			return "", nil, errors.Wrap(err, "hops")
		}
		started = append(started, cmd)
	}
	return addresses[1], stop, nil
}

// pathReadyTimeout is the time in which all paths must complete their first request.
const pathReadyTimeout = 30 * time.Second

// waitForPaths waits until a request succeeds on every path.
func waitForPaths(ctx context.Context, paths []*path) error {
	ctx, cancel := context.WithTimeout(ctx, pathReadyTimeout)
	defer cancel()
	client := fleettest.NewClient()
	defer client.Close()
	for _, p := range paths {
		err := fleettest.Poll(ctx, p.name, func(ctx context.Context) error {
			answer := client.Fetch(ctx, p.address, fleettest.Request{Path: benchPath, Token: "first", Size: 1})
			if answer.Status != 200 {
				return errors.Errorf("status %d, %s", answer.Status, answer.Outcome())
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}
