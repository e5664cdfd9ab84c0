package tour

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// declarationFileMode is the mode of the file that sardinereachctl apply reads.
const declarationFileMode = 0o600

// runner runs the scenario on one fleet.
type runner struct {
	out    io.Writer
	plan   Plan
	dir    string
	fleet  *fleettest.Fleet
	client *fleettest.Client

	printMu    sync.Mutex
	small      *traffic
	bulk       *traffic
	operations *traffic
	// initialCounters holds the counters at the start of the traffic.
	initialCounters nodeCounters
	// violations describes violated guarantees, in addition to those in the tallies.
	violations []string
}

func (r *runner) run(ctx context.Context) error {
	r.printf("%s: %d services in %d failure domains, %d nodes", r.plan.Title, len(r.plan.Layout.Services),
		len(r.plan.Layout.Domains), len(r.fleet.Nodes))
	if err := r.fleet.WaitReady(ctx); err != nil {
		return err
	}
	if err := r.applyDeclarations(ctx); err != nil {
		return err
	}
	if err := r.fleet.WaitRoutes(ctx); err != nil {
		return err
	}
	initialCounters, err := r.readCounters(ctx)
	if err != nil {
		return err
	}
	r.initialCounters = initialCounters
	r.small = newTraffic(r.plan.Small, r.fleet, r.client)
	r.bulk = newTraffic(r.plan.Bulk, r.fleet, r.client)
	r.operations = newTraffic(r.plan.Operations, r.fleet, r.client)
	if err := r.runTraffic(ctx); err != nil {
		return err
	}
	r.retryOperation(ctx)
	return r.summarize(ctx)
}

// applyDeclarations applies the declarations with sardinereachctl, like an operator.
func (r *runner) applyDeclarations(ctx context.Context) error {
	path := filepath.Join(r.dir, "services.sr")
	if err := os.WriteFile(path, []byte(r.plan.Layout.Declarations), declarationFileMode); err != nil {
		return errors.Wrap(err, "declarations")
	}
	output, err := r.fleet.Control(ctx, r.fleet.Nodes[0], "", "apply", "-wait", path)
	if err != nil {
		return err
	}
	r.printf("sardinereachctl apply:\n%s", indent(output))
	return nil
}

// runTraffic sends the three flows and meanwhile drains one upstream and kills another.
func (r *runner) runTraffic(ctx context.Context) error {
	var wait sync.WaitGroup
	wait.Go(func() { r.small.run(ctx, sendRead) })
	wait.Go(func() { r.bulk.run(ctx, sendRead) })
	wait.Go(func() { r.operations.run(ctx, sendOperation) })
	err := r.injectFaults(ctx)
	wait.Wait()
	return err
}

// injectFaults drains an upstream of the operations and kills an upstream of the small reads. The killed upstream
// serves only idempotent requests, so that the fleet can retry all requests that it interrupts.
func (r *runner) injectFaults(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.drainUpstream(ctx) })
	group.Go(func() error { return r.killUpstream(ctx) })
	return group.Wait()
}

func (r *runner) drainUpstream(ctx context.Context) error {
	if err := waitFor(ctx, r.operations.halfDone); err != nil {
		return err
	}
	upstream := r.fleet.Targets(r.plan.Operations.Service)[0]
	if err := upstream.Terminate(); err != nil {
		return err
	}
	status, err := upstream.Wait(ctx)
	if err != nil {
		return err
	}
	r.printf("drained %s under traffic: exit status %d", upstream.Target, status)
	if status != 0 {
		return errors.Errorf("%s did not exit with status 0 after its drain", upstream.Target)
	}
	return nil
}

func (r *runner) killUpstream(ctx context.Context) error {
	if err := waitFor(ctx, r.small.halfDone); err != nil {
		return err
	}
	upstream := r.fleet.Targets(r.plan.Small.Service)[0]
	upstream.Kill()
	r.printf("killed %s under traffic", upstream.Target)
	return nil
}

// retryOperation sends a completed operation again with the same key through another node.
func (r *runner) retryOperation(ctx context.Context) {
	name := operationName(r.plan.Operations, 0)
	node := r.fleet.Nodes[len(r.fleet.Nodes)-1]
	answer := r.client.RunOperation(ctx, node.Callers, fleettest.Request{Path: r.plan.Operations.Path, Token: name, Key: name})
	r.operations.tally.add(answer)
	r.printf("resent %s with the same key through %s: %s, replayed %t", name, node.ID, answer.Outcome(), answer.Replayed)
	if !answer.Complete || !answer.Replayed {
		r.violations = append(r.violations, "the client retry of a completed operation did not receive the recorded response")
	}
}

func (r *runner) printf(format string, args ...any) {
	r.printMu.Lock()
	defer r.printMu.Unlock()
	fmt.Fprintf(r.out, format+"\n", args...)
}

func waitFor(ctx context.Context, event <-chan struct{}) error {
	select {
	case <-event:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for half of the requests to end")
	}
}

func indent(text string) string {
	return "  " + strings.ReplaceAll(strings.TrimRight(text, "\n"), "\n", "\n  ")
}
