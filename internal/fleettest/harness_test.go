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
	// testTimeout fails a test that hangs.
	testTimeout = 60 * time.Second
	// testSeed is the seed of all random numbers in the tests.
	testSeed = 11

	readPath      = "/reads"
	operationPath = "/ops"
	testSlots     = 8
)

// layoutOf returns a layout of one region with the given numbers of targets.
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

// testFleet is the running fleet of a test, with a client.
type testFleet struct {
	*Fleet
	t      *testing.T
	ctx    context.Context
	caller *Client
	rng    *rand.Rand
}

// start starts a fleet and waits until every node routes requests to every service. The fleet is stopped when the test
// ends, and its logs are printed if the test failed.
func start(t *testing.T, layout Layout) *testFleet {
	t.Helper()
	return startWith(t, Options{Layout: layout})
}

// startRelayed is like start, with a relay in front of each node's listener for peers.
func startRelayed(t *testing.T, layout Layout) *testFleet {
	t.Helper()
	return startWith(t, Options{Layout: layout, Relays: true})
}

// fleets limits the number of concurrent fleets, because the machine is shared.
var fleets = make(chan struct{}, 3)

func startWith(t *testing.T, options Options) *testFleet {
	t.Helper()
	t.Parallel()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	options.Binaries = programs
	options.Dir = t.TempDir()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
	s := &testFleet{Fleet: fleet, t: t, ctx: ctx, caller: NewClient(), rng: rand.New(rand.NewPCG(testSeed, 0))}
	t.Cleanup(s.caller.Close)
	s.must(fleet.Declare(ctx))
	s.must(fleet.WaitReady(ctx))
	s.must(fleet.WaitRoutes(ctx))
	return s
}

func (s *testFleet) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// await polls until check returns nil.
func (s *testFleet) await(what string, check func() error) {
	s.t.Helper()
	s.must(Poll(s.ctx, what, func(context.Context) error { return check() }))
}

// nodesOf returns the admitting nodes of a service's targets.
func (s *testFleet) nodesOf(service string) []*Node {
	var nodes []*Node
	for _, upstream := range s.Targets(service) {
		nodes = append(nodes, upstream.Node)
	}
	return nodes
}

func (s *testFleet) setFaults(upstreams []*Upstream, faults fakeupstream.Faults) {
	s.t.Helper()
	for _, upstream := range upstreams {
		s.must(upstream.SetFaults(s.ctx, faults))
	}
}

// operation returns the request for a keyed operation.
func operation(name string) Request {
	return Request{Path: operationPath, Token: name, Key: name}
}

// read sends an idempotent request and requires a complete response.
func (s *testFleet) read(node *Node, name string, size int64) {
	s.t.Helper()
	answer := s.caller.Fetch(s.ctx, node.Callers, Request{Path: readPath, Token: name, Size: size})
	if !answer.Complete {
		s.t.Errorf("read %s through %s: %s, status %d, %v", name, node.ID, answer.Outcome(), answer.Status, answer.Err)
	}
}

// readAll sends count reads of random sizes through the nodes in turn, from several concurrent callers.
func (s *testFleet) readAll(nodes []*Node, name string, count int) {
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

// maxReadBytes is the exclusive upper bound of the random read sizes.
const maxReadBytes = 100_000

// startOperation sends an operation in the background. The channel receives its response.
func (s *testFleet) startOperation(node *Node, r Request) <-chan Answer {
	answers := make(chan Answer, 1)
	go func() { answers <- s.caller.RunOperation(s.ctx, node.Callers, r) }()
	return answers
}

// awaitInFlight waits until a target of the service runs a request and returns the target.
func (s *testFleet) awaitInFlight(service string) *Upstream {
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

// runCount returns how often the operation ran according to the upstreams' records.
func (s *testFleet) runCount(name string) int {
	s.t.Helper()
	runs, err := s.Runs()
	s.must(err)
	return len(runs[name])
}

// checkAtMostOnce checks an operation's responses against the upstreams' records: it ran at most once, it ran if a
// response is complete, and it did not run if all responses report not-run.
func (s *testFleet) checkAtMostOnce(name string, answers ...Answer) {
	s.t.Helper()
	runs := s.runCount(name)
	if runs > 1 {
		s.t.Errorf("operation %s ran %d times", name, runs)
	}
	refused := len(answers) > 0
	for _, answer := range answers {
		if answer.Complete && runs == 0 {
			s.t.Errorf("operation %s has a complete response but did not run", name)
		}
		refused = refused && answer.Verdict == NotRun
	}
	if refused && runs > 0 {
		s.t.Errorf("operation %s ran, but all responses report not-run: %s", name, outcomes(answers))
	}
}

func outcomes(answers []Answer) []string {
	var all []string
	for _, answer := range answers {
		all = append(all, answer.Outcome())
	}
	return all
}

// retryUntilResolved retries the operation through the node as long as it is refused with status 503 and verdict
// not-run.
func (s *testFleet) retryUntilResolved(node *Node, r Request) Answer {
	s.t.Helper()
	var answer Answer
	s.await("an outcome of "+r.Token, func() error {
		answer = s.caller.RunOperation(s.ctx, node.Callers, r)
		if answer.Verdict == NotRun && answer.Status == http.StatusServiceUnavailable {
			return errors.Errorf("refused: %s", answer.Outcome())
		}
		return nil
	})
	return answer
}
