// Command linkbench starts the Huon and Dala fleets at their full sizes and reports the bytes that pass between the two
// regions: without requests, and with requests that the local region can serve.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// benchTimeout aborts a run that hangs.
const benchTimeout = 8 * time.Minute

func main() {
	settle := flag.Duration("settle", 15*time.Second, "time between readiness and measurement")
	window := flag.Duration("window", 30*time.Second, "length of each of the two measurements")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	if err := run(ctx, *settle, *window); err != nil {
		fmt.Fprintln(os.Stderr, "linkbench:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, settle, window time.Duration) error {
	binaries, err := fleettest.Build(ctx)
	if err != nil {
		return err
	}
	defer binaries.Remove()
	fmt.Println("fleet  phase    control B/s  share of 30 Mbit/s  traffic B/s  requests  whole")
	for _, w := range []workload{
		{name: "huon", layout: fleettest.Huon(true), path: "/proofs", bytes: 64 << 10},
		{name: "dala", layout: fleettest.Dala(true), path: "/tariffs", bytes: 2 << 10},
	} {
		if err := w.measure(ctx, binaries, settle, window); err != nil {
			return errors.Wrap(err, w.name)
		}
	}
	return nil
}
