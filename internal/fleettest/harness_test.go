package fleettest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fakeupstream"
)

const (
	// testLimit ends a test that hangs.
	testLimit = 60 * time.Second
	// testSeed is the seed of everything random in the tests.
	testSeed = 11

	readPath      = "/reads"
	operationPath = "/ops"
	testSlots     = 8
)

// layoutOf returns a layout of one region with the numbers of targets.
func layoutOf(reads, operations int) Layout {
	return Layout{
		Domains: []Domain{{Name: "hobart-a", Region: "tas-south"}, {Name: "hobart-b", Region: "tas-south"}},
		Services: []Service{
			{Name: "reads", Targets: reads, Slots: testSlots, Path: readPath},
			{Name: "ops", Targets: operations, Slots: testSlots, Path: operationPath},
		},
		Declarations: `declare service reads {
  policy huon;
  route GET "/reads" { timeout 20s; }
}
declare service ops {
  policy huon;
  route POST "/ops" { class non-idempotent; timeout 20s; }
}
`,
	}
}

// scene is a running fleet with a caller.
type scene struct {
	*Fleet
	t      *testing.T
	ctx    context.Context
	caller *Client
	rng    *rand.Rand
}

// start starts a fleet that carries requests to all services through all nodes. Everything ends with the test; the logs
// of a failed test are printed.
func start(t *testing.T, layout Layout) *scene {
	t.Helper()
	return startWith(t, Options{Layout: layout})
}

// startRelayed is start with a relay in front of each node's listener for peers.
func startRelayed(t *testing.T, layout Layout) *scene {
	t.Helper()
	return startWith(t, Options{Layout: layout, Relays: true})
}

// fleets limits the fleets that run at the same time, because the machine is shared.
var fleets = make(chan struct{}, 3)

func startWith(t *testing.T, options Options) *scene {
	t.Helper()
	t.Parallel()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	options.Binaries = programs
	options.Dir = t.TempDir()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	fleet, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(fleet.Logs())
		}
		fleet.Close()
	})
	s := &scene{Fleet: fleet, t: t, ctx: ctx, caller: NewClient(), rng: rand.New(rand.NewPCG(testSeed, 0))}
	t.Cleanup(s.caller.Close)
	s.must(fleet.Declare(ctx))
	s.must(fleet.WaitReady(ctx))
	s.must(fleet.WaitRoutes(ctx))
	return s
}

func (s *scene) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// await polls until check returns nil.
func (s *scene) await(what string, check func() error) {
	s.t.Helper()
	s.must(Poll(s.ctx, what, func(context.Context) error { return check() }))
}

// nodesOf returns the nodes beside the targets of a service.
func (s *scene) nodesOf(service string) []*Node {
	var nodes []*Node
	for _, upstream := range s.Targets(service) {
		nodes = append(nodes, upstream.Node)
	}
	return nodes
}

func (s *scene) setFaults(upstreams []*Upstream, faults fakeupstream.Faults) {
	s.t.Helper()
	for _, upstream := range upstreams {
		s.must(upstream.SetFaults(s.ctx, faults))
	}
}

// operation returns the request for a keyed operation.
func operation(name string) Request {
	return Request{Path: operationPath, Token: name, Key: name}
}

// read sends an idempotent request and requires a whole answer.
func (s *scene) read(node *Node, name string, size int64) {
	s.t.Helper()
	answer := s.caller.Fetch(s.ctx, node.Callers, Request{Path: readPath, Token: name, Size: size})
	if !answer.Whole {
		s.t.Errorf("read %s through %s: %s, status %d, %v", name, node.ID, answer.Outcome(), answer.Status, answer.Err)
	}
}

// readAll sends count reads of seeded sizes through the nodes in turn, some at the same time.
func (s *scene) readAll(nodes []*Node, name string, count int) {
	s.t.Helper()
	const callers = 4
	var wait sync.WaitGroup
	for c := range callers {
		sizes := rand.New(rand.NewPCG(testSeed, uint64(c)))
		wait.Go(func() {
			for i := c; i < count; i += callers {
				s.read(nodes[i%len(nodes)], fmt.Sprintf("%s-%d", name, i), sizes.Int64N(maxReadBytes))
			}
		})
	}
	wait.Wait()
}

// maxReadBytes bounds the size of seeded reads.
const maxReadBytes = 100_000

// approveInBackground sends an operation and returns its answer on the channel.
func (s *scene) approveInBackground(node *Node, r Request) <-chan Answer {
	answers := make(chan Answer, 1)
	go func() { answers <- s.caller.Approve(s.ctx, node.Callers, r) }()
	return answers
}

// inFlight returns the target of the service that runs a request, once there is one.
func (s *scene) inFlight(service string) *Upstream {
	s.t.Helper()
	var found *Upstream
	s.await("a request in flight at "+service, func() error {
		for _, upstream := range s.Targets(service) {
			status, err := upstream.Status(s.ctx)
			if err != nil {
				return err
			}
			if status.InFlight > 0 {
				found = upstream
				return nil
			}
		}
		return errors.New("none in flight")
	})
	return found
}

// runsOf returns how often the operation ran, as the upstreams recorded it.
func (s *scene) runsOf(name string) int {
	s.t.Helper()
	runs, err := s.Runs()
	s.must(err)
	return len(runs[name])
}

// checkOnce checks an operation's answers against the upstreams' records: it ran at most once, it ran if an answer is
// whole, and it did not run if every answer says so.
func (s *scene) checkOnce(name string, answers ...Answer) {
	s.t.Helper()
	runs := s.runsOf(name)
	if runs > 1 {
		s.t.Errorf("operation %s ran %d times", name, runs)
	}
	refused := len(answers) > 0
	for _, answer := range answers {
		if answer.Whole && runs == 0 {
			s.t.Errorf("operation %s was answered and did not run", name)
		}
		refused = refused && answer.Verdict == NotRun
	}
	if refused && runs > 0 {
		s.t.Errorf("operation %s ran, and all answers say that it did not: %s", name, outcomes(answers))
	}
}

func outcomes(answers []Answer) []string {
	var all []string
	for _, answer := range answers {
		all = append(all, answer.Outcome())
	}
	return all
}

// settle resends the operation through the node until its answer is whole or says that it may have run.
func (s *scene) settle(node *Node, r Request) Answer {
	s.t.Helper()
	var answer Answer
	s.await("an outcome of "+r.Token, func() error {
		answer = s.caller.Approve(s.ctx, node.Callers, r)
		if answer.Verdict == NotRun && answer.Status == http.StatusServiceUnavailable {
			return errors.Errorf("refused: %s", answer.Outcome())
		}
		return nil
	})
	return answer
}
