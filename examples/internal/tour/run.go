package tour

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// Run takes the tour and prints its account to out. The error says which promise did not hold.
func Run(out io.Writer, plan Plan) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	dir, err := os.MkdirTemp("", "sardinereach-tour-")
	if err != nil {
		return errors.Wrap(err, "tour")
	}
	defer os.RemoveAll(dir)
	binaries, err := fleettest.Build(context.Background())
	if err != nil {
		return err
	}
	defer binaries.Remove()
	started := time.Now()
	fleet, err := fleettest.Start(fleettest.Options{Layout: plan.Layout, Binaries: binaries, Dir: dir})
	if err != nil {
		return err
	}
	defer fleet.Close()
	t := &tour{out: out, plan: plan, dir: dir, fleet: fleet, client: fleettest.NewClient()}
	defer t.client.Close()
	if err := t.take(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d processes, %.1f s\n", 1+len(fleet.Nodes)+len(fleet.Upstreams), time.Since(started).Seconds())
	return t.verdict()
}
