package fleettest

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/relay"
)

// healthPath is the health endpoint on a daemon's listener for callers.
const healthPath = "/_sardinereach/health"

// Node is one daemon of a fleet.
type Node struct {
	*Process
	ID     string
	Domain Domain
	// Callers, Peers, Operators and Upstreams are host:port of the daemon's listeners.
	Callers   string
	Peers     string
	Operators string
	Upstreams string
	// Relay forwards the connections of peers to the daemon, nil without Options.Relays.
	Relay *relay.Relay

	// peersBindAddress is host:port where a relayed daemon listens for peers; Peers is the address of its relay.
	peersBindAddress string
	vmAddress        string
	dir              string
	program          string
	settings         string
}

// newNode chooses addresses for a daemon on a new VM.
func newNode(dir, program, id string, domain Domain) (*Node, error) {
	n := &Node{ID: id, Domain: domain, vmAddress: nextVMAddress(), dir: dir, program: program}
	for _, address := range []*string{&n.Callers, &n.Peers, &n.Operators, &n.Upstreams} {
		free, err := freeAddress(n.vmAddress)
		if err != nil {
			return nil, err
		}
		*address = free
	}
	return n, nil
}

// startRelay starts a relay in front of the listener for peers and selects the program that listens behind it.
func (n *Node) startRelay(program string) error {
	peersBindAddress, err := freeAddress(n.vmAddress)
	if err != nil {
		return err
	}
	n.Relay, err = relay.Start(n.Peers, peersBindAddress, nil)
	n.peersBindAddress = peersBindAddress
	n.program = program
	return err
}

// configure writes the settings file that the next Start uses.
func (n *Node) configure(store string, seeds []string, extra map[string]map[string]string) error {
	settings := nodeSettings{
		id: n.ID, domain: n.Domain, callers: n.Callers, peers: n.Peers, operators: n.Operators, upstreams: n.Upstreams,
		store: store, seeds: seeds, extra: extra,
	}
	path, err := settings.write(n.dir)
	n.settings = path
	return err
}

// Start starts the daemon, or restarts it after it has exited: a new incarnation with the same settings.
func (n *Node) Start() error {
	args := []string{"-config", n.settings}
	if n.Relay != nil {
		args = append(args, "-bind-peers", n.peersBindAddress)
	}
	p, err := startProcess(n.dir, n.ID, n.program, args...)
	if err != nil {
		return err
	}
	n.Process = p
	return nil
}

// WaitReady waits until the daemon accepts callers. It returns an error at once if the daemon has exited.
func (n *Node) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Read Done here: the goroutine may begin after the return, when the daemon may have been restarted.
	done := n.Done()
	go func() {
		select {
		case <-done:
			cancel()
		case <-ctx.Done():
		}
	}()
	return Poll(ctx, n.ID+" to be ready", n.health)
}

func (n *Node) health(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Callers+healthPath, nil)
	if err != nil {
		return errors.Wrap(err, "health")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "health")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s: health status %d", n.ID, response.StatusCode)
	}
	return nil
}

// PeakMemory returns the peak resident memory of the daemon in bytes.
func (n *Node) PeakMemory() (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0, errors.Wrap(err, "memory")
	}
	for line := range strings.Lines(string(data)) {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes << 10, nil
		}
	}
	return 0, errors.Errorf("memory: %s: no VmHWM", n.ID)
}
