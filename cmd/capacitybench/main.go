// Command capacitybench starts fleets of several sizes and reports what an idle daemon costs: processor time, resident
// memory, bytes by purpose and store calls by kind. Each daemon has one local target, and no caller sends requests.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// benchTimeout aborts a run that hangs.
const benchTimeout = 9 * time.Minute

// fleetSizes lists the number of daemons of each measured fleet.
var fleetSizes = []int{6, 12, 24}

func main() {
	settle := flag.Duration("settle", 10*time.Second, "time between readiness and measurement")
	window := flag.Duration("window", time.Minute, "length of the measurement")
	flag.Parse()
	if err := run(plan{settle: *settle, window: *window}); err != nil {
		fmt.Fprintln(os.Stderr, "capacitybench:", err)
		os.Exit(1)
	}
}

func run(p plan) error {
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	binaries, err := fleettest.Build(ctx)
	if err != nil {
		return err
	}
	defer binaries.Remove()
	for _, size := range fleetSizes {
		before, after, err := p.measure(ctx, binaries, size)
		if err != nil {
			return err
		}
		report(os.Stdout, p.window, before, after)
	}
	return nil
}
