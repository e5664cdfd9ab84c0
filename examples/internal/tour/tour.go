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

// declarationFileMode is the mode of the file that the operator applies.
const declarationFileMode = 0o600

// tour is one running tour.
type tour struct {
	out    io.Writer
	plan   Plan
	dir    string
	fleet  *fleettest.Fleet
	client *fleettest.Client

	printing   sync.Mutex
	small      *traffic
	bulk       *traffic
	operations *traffic
	// before are the counters at the beginning of the traffic.
	before reasons
	// faults describe promises that did not hold, besides those in the tallies.
	faults []string
}

func (t *tour) take(ctx context.Context) error {
	t.say("%s: %d services in %d failure domains, %d nodes", t.plan.Title, len(t.plan.Layout.Services),
		len(t.plan.Layout.Domains), len(t.fleet.Nodes))
	if err := t.fleet.WaitReady(ctx); err != nil {
		return err
	}
	if err := t.declare(ctx); err != nil {
		return err
	}
	if err := t.fleet.WaitRoutes(ctx); err != nil {
		return err
	}
	before, err := t.countReasons(ctx)
	if err != nil {
		return err
	}
	t.before = before
	t.small = newTraffic(t.plan.Small, t.fleet, t.client)
	t.bulk = newTraffic(t.plan.Bulk, t.fleet, t.client)
	t.operations = newTraffic(t.plan.Operations, t.fleet, t.client)
	if err := t.sendAll(ctx); err != nil {
		return err
	}
	t.resend(ctx)
	return t.account(ctx)
}

// declare applies the declarations as an operator does.
func (t *tour) declare(ctx context.Context) error {
	path := filepath.Join(t.dir, "services.sr")
	if err := os.WriteFile(path, []byte(t.plan.Layout.Declarations), declarationFileMode); err != nil {
		return errors.Wrap(err, "declarations")
	}
	output, err := t.fleet.Control(ctx, t.fleet.Nodes[0], "", "apply", "-wait", path)
	if err != nil {
		return err
	}
	t.say("sardinereachctl apply:\n%s", indent(output))
	return nil
}

// sendAll sends the three flows, and drains and kills an upstream in their midst.
func (t *tour) sendAll(ctx context.Context) error {
	var wait sync.WaitGroup
	wait.Go(func() { t.small.run(ctx, read) })
	wait.Go(func() { t.bulk.run(ctx, read) })
	wait.Go(func() { t.operations.run(ctx, operate) })
	err := t.disturb(ctx)
	wait.Wait()
	return err
}

// disturb drains an upstream of the operations and kills one of the small reads. The killed one serves idempotent
// requests, so that the fleet can answer all of them.
func (t *tour) disturb(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.drainOne(ctx) })
	group.Go(func() error { return t.killOne(ctx) })
	return group.Wait()
}

func (t *tour) drainOne(ctx context.Context) error {
	if err := waitFor(ctx, t.operations.half); err != nil {
		return err
	}
	upstream := t.fleet.Targets(t.plan.Operations.Service)[0]
	if err := upstream.Terminate(); err != nil {
		return err
	}
	status, err := upstream.Wait(ctx)
	if err != nil {
		return err
	}
	t.say("drained %s under traffic: exit status %d", upstream.Target, status)
	if status != 0 {
		return errors.Errorf("%s did not end its drain by itself", upstream.Target)
	}
	return nil
}

func (t *tour) killOne(ctx context.Context) error {
	if err := waitFor(ctx, t.small.half); err != nil {
		return err
	}
	upstream := t.fleet.Targets(t.plan.Small.Service)[0]
	upstream.Kill()
	t.say("killed %s under traffic", upstream.Target)
	return nil
}

// resend sends an operation that was answered once more, with the same key through another node.
func (t *tour) resend(ctx context.Context) {
	name := operationName(t.plan.Operations, 0)
	node := t.fleet.Nodes[len(t.fleet.Nodes)-1]
	answer := t.client.RunOperation(ctx, node.Callers, fleettest.Request{Path: t.plan.Operations.Path, Token: name, Key: name})
	t.operations.tally.add(answer)
	t.say("resent %s with the same key through %s: %s, replayed %t", name, node.ID, answer.Outcome(), answer.Replayed)
	if !answer.Complete || !answer.Replayed {
		t.faults = append(t.faults, "the resent operation did not get its recorded answer")
	}
}

func (t *tour) say(format string, args ...any) {
	t.printing.Lock()
	defer t.printing.Unlock()
	fmt.Fprintf(t.out, format+"\n", args...)
}

func waitFor(ctx context.Context, event <-chan struct{}) error {
	select {
	case <-event:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "the traffic did not get half-way")
	}
}

func indent(text string) string {
	return "  " + strings.ReplaceAll(strings.TrimRight(text, "\n"), "\n", "\n  ")
}
