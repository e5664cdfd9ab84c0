// Command linkbench starts the fleets of Huon and Dala at their full sizes and reports the bytes that pass between the two
// regions: idle, and under requests that the local region can serve.
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

// benchLimit ends a run that hangs.
const benchLimit = 8 * time.Minute

func main() {
	settle := flag.Duration("settle", 15*time.Second, "time between readiness and measurement")
	window := flag.Duration("window", 30*time.Second, "length of each of the two measurements")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), benchLimit)
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
	for _, f := range []fleet{
		{name: "huon", layout: fleettest.Huon(true), path: "/proofs", bytes: 64 << 10},
		{name: "dala", layout: fleettest.Dala(true), path: "/tariffs", bytes: 2 << 10},
	} {
		if err := f.measure(ctx, binaries, settle, window); err != nil {
			return errors.Wrap(err, f.name)
		}
	}
	return nil
}
