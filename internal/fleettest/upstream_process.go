package fleettest

import (
	"context"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fakeupstream"
)

// Upstream is one fake upstream of a fleet.
type Upstream struct {
	*Process
	*fakeupstream.ControlClient
	Service string
	Target  string
	// Node is the daemon on the VM of the upstream, which admits requests for it.
	Node *Node

	dir       string
	program   string
	slots     int
	address   string
	control   string
	runLog    string
	coldStart time.Duration
}

// newUpstream chooses addresses for an upstream on its node's VM.
func newUpstream(dir, program string, node *Node, service Service, target string) (*Upstream, error) {
	u := &Upstream{
		Service: service.Name, Target: target, Node: node, dir: dir, program: program, slots: service.Slots,
		runLog: filepath.Join(dir, target+".runs"),
	}
	for _, address := range []*string{&u.address, &u.control} {
		free, err := freeAddress(node.vmAddress)
		if err != nil {
			return nil, err
		}
		*address = free
	}
	u.ControlClient = fakeupstream.NewControlClient(u.control)
	return u, nil
}

// Start starts the upstream, or restarts it after it has exited. New runs are appended to the run log.
func (u *Upstream) Start() error {
	p, err := startProcess(u.dir, u.Target, u.program,
		"-service", u.Service, "-target", u.Target, "-listen", u.address, "-control", u.control,
		"-node", u.Node.Upstreams, "-slots", strconv.Itoa(u.slots), "-run-log", u.runLog,
		"-cold-start", u.coldStart.String())
	if err != nil {
		return err
	}
	u.Process = p
	return nil
}

// WaitAccepted waits until the node has accepted an announcement of the phase.
func (u *Upstream) WaitAccepted(ctx context.Context, phase string) error {
	return Poll(ctx, u.Target+" to be "+phase, func(ctx context.Context) error {
		status, err := u.Status(ctx)
		if err != nil {
			return err
		}
		if status.AcceptedPhase != phase {
			return errors.Errorf("%s: the node accepted phase %q", u.Target, status.AcceptedPhase)
		}
		return nil
	})
}

// Address returns host:port for requests.
func (u *Upstream) Address() string { return u.address }

// LoggedRuns returns all runs at the target, including those of processes that have exited.
func (u *Upstream) LoggedRuns() ([]fakeupstream.Run, error) { return fakeupstream.ReadRunLog(u.runLog) }
