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

// Run runs the scenario and prints its summary to out. The returned error lists the violated guarantees.
func Run(out io.Writer, plan Plan) error {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
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
	r := &runner{out: out, plan: plan, dir: dir, fleet: fleet, client: fleettest.NewClient()}
	defer r.client.Close()
	if err := r.run(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d processes, %.1f s\n", 1+len(fleet.Nodes)+len(fleet.Upstreams), time.Since(started).Seconds())
	return r.result()
}
