package fleettest

import (
	"context"
	"fmt"
	"os/exec"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// maxSeeds is the maximum number of seed peers in the settings of a daemon.
const maxSeeds = 3

// Fleet is a running fleet: its store, its nodes and their upstreams.
type Fleet struct {
	Store     *Store
	Nodes     []*Node
	Upstreams []*Upstream

	options Options
}

// Start starts the store, then all daemons and upstreams. It does not wait until they are ready. On an error it stops
// everything that it started.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{options: options}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	if err := f.startStore(); err != nil {
		return err
	}
	if err := f.assignAddresses(); err != nil {
		return err
	}
	for _, node := range f.Nodes {
		if err := f.startNode(node); err != nil {
			return err
		}
	}
	for _, upstream := range f.Upstreams {
		if err := upstream.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startStore() error {
	vm := nextVMAddress()
	address, err := freeAddress(vm)
	if err != nil {
		return err
	}
	control, err := freeAddress(vm)
	if err != nil {
		return err
	}
	p, err := startProcess(f.options.Dir, "store", f.options.Binaries.path(storeProgram),
		"-listen", address, "-control", control)
	if err != nil {
		return err
	}
	f.Store = &Store{Process: p, address: address, control: control}
	return nil
}

// assignAddresses chooses the addresses of every daemon and upstream before any is started, so that the settings can
// list other daemons as seeds.
func (f *Fleet) assignAddresses() error {
	for s, service := range f.options.Layout.Services {
		for j := range service.Targets {
			target := fmt.Sprintf("%s-%d", service.Name, j+1)
			node, err := f.newNode("node-"+target, f.options.Layout.domainOf(s, j))
			if err != nil {
				return err
			}
			f.Nodes = append(f.Nodes, node)
			upstream, err := newUpstream(f.options.Dir, f.options.Binaries.path(upstreamProgram), node, service, target)
			if err != nil {
				return err
			}
			upstream.coldStart = f.options.ColdStart
			f.Upstreams = append(f.Upstreams, upstream)
		}
	}
	return nil
}

func (f *Fleet) newNode(id string, domain Domain) (*Node, error) {
	node, err := newNode(f.options.Dir, f.options.Binaries.path(daemonProgram), id, domain)
	if err != nil || !f.options.Relays {
		return node, err
	}
	return node, node.startRelay(f.options.Binaries.path(relayedDaemonProgram))
}

// AddNode starts one more daemon, without a local target.
func (f *Fleet) AddNode(id string, domain Domain) (*Node, error) {
	node, err := f.newNode(id, domain)
	if err != nil {
		return nil, err
	}
	f.Nodes = append(f.Nodes, node)
	return node, f.startNode(node)
}

func (f *Fleet) startNode(node *Node) error {
	if err := node.configure(f.Store.address, f.seeds(node), f.options.Settings); err != nil {
		return err
	}
	return node.Start()
}

func (f *Fleet) seeds(exclude *Node) []string {
	var seeds []string
	for _, node := range f.Nodes {
		if node != exclude && len(seeds) < maxSeeds {
			seeds = append(seeds, node.Peers)
		}
	}
	return seeds
}

// WaitReady waits until every daemon accepts callers and sees every upstream as ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	if err := f.waitStarted(ctx); err != nil {
		return err
	}
	for _, node := range f.Nodes {
		if err := f.waitTargetsReady(ctx, node); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) waitStarted(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, node := range f.Nodes {
		group.Go(func() error { return node.WaitReady(ctx) })
	}
	for _, upstream := range f.Upstreams {
		group.Go(func() error { return upstream.WaitAccepted(ctx, "ready") })
	}
	return group.Wait()
}

// Node returns the daemon with the id.
func (f *Fleet) Node(id string) *Node {
	for _, node := range f.Nodes {
		if node.ID == id {
			return node
		}
	}
	return nil
}

// Targets returns the upstreams of a service.
func (f *Fleet) Targets(service string) []*Upstream {
	var targets []*Upstream
	for _, upstream := range f.Upstreams {
		if upstream.Service == service {
			targets = append(targets, upstream)
		}
	}
	return targets
}

// Control runs sardinereachctl against a node with the input on stdin and returns its combined output.
func (f *Fleet) Control(ctx context.Context, node *Node, input string, args ...string) (string, error) {
	args = append(args, "-server", node.Operators)
	cmd := exec.CommandContext(ctx, f.options.Binaries.path(controlProgram), args...)
	cmd.Stdin = strings.NewReader(input)
	output, err := cmd.CombinedOutput()
	return string(output), errors.Wrapf(err, "sardinereachctl %s: %s", strings.Join(args, " "), output)
}

// Close kills every process of the fleet and waits until all have exited.
func (f *Fleet) Close() {
	for _, p := range f.processes() {
		_ = p.Resume()
		p.Kill()
	}
	for _, node := range f.Nodes {
		if node.Relay != nil {
			node.Relay.Close()
		}
	}
}

func (f *Fleet) processes() []*Process {
	var all []*Process
	for _, upstream := range f.Upstreams {
		all = append(all, upstream.Process)
	}
	for _, node := range f.Nodes {
		all = append(all, node.Process)
	}
	if f.Store != nil {
		all = append(all, f.Store.Process)
	}
	started := all[:0]
	for _, p := range all {
		if p != nil {
			started = append(started, p)
		}
	}
	return started
}

// Logs returns the output of all processes, for the report of a failed test.
func (f *Fleet) Logs() string {
	var logs strings.Builder
	for _, p := range f.processes() {
		fmt.Fprintf(&logs, "=== %s\n%s", p.Name(), p.Log())
	}
	return logs.String()
}
