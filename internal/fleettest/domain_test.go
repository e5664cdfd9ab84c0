package fleettest

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"
)

// operationWork is long enough that operations are in flight when the processes are killed.
const operationWork = 50 * time.Millisecond

// splitByDomain returns the nodes inside and outside the failure domain.
func (s *testFleet) splitByDomain(name string) (inside, outside []*Node) {
	for _, node := range s.Nodes {
		if node.Domain.Name == name {
			inside = append(inside, node)
		} else {
			outside = append(outside, node)
		}
	}
	return inside, outside
}

// killDomain kills all daemons and upstreams of the failure domain. All are signaled before it waits for the first to
// exit.
func (s *testFleet) killDomain(name string) {
	s.t.Helper()
	var processes []*Process
	for _, upstream := range s.Upstreams {
		if upstream.Node.Domain.Name == name {
			processes = append(processes, upstream.Process, upstream.Node.Process)
		}
	}
	for _, p := range processes {
		s.must(p.signal(syscall.SIGKILL))
	}
	for _, p := range processes {
		<-p.Done()
	}
}

// runOperationsUntilStopped sends operations with unique names through each node until stop is called. stop returns the
// responses by name.
func (s *testFleet) runOperationsUntilStopped(nodes []*Node) (stop func() map[string]Answer) {
	ctx, cancel := context.WithCancel(s.ctx)
	var wait sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]Answer{}
	for _, node := range nodes {
		wait.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				name := fmt.Sprintf("%s-op-%d", node.ID, i)
				request := operation(name)
				request.Work = operationWork
				answer := s.caller.RunOperation(s.ctx, node.Callers, request)
				mu.Lock()
				answers[name] = answer
				mu.Unlock()
			}
		})
	}
	return func() map[string]Answer {
		cancel()
		wait.Wait()
		return answers
	}
}

// Guards against nodes that do not recover from the simultaneous loss of many daemons and upstreams. After a failure
// domain is killed under traffic, all remaining nodes must serve reads and operations again. No operation may run
// twice, and none that ran may be reported as not run.
func TestLossOfFailureDomain(t *testing.T) {
	const lost = "hobart-a"
	s := start(t, layoutOf(4, 4))
	inside, rest := s.splitByDomain(lost)
	if len(inside) != len(rest) {
		t.Fatalf("%d nodes inside, %d outside", len(inside), len(rest))
	}
	stopReads := s.fetchUntilStopped(rest, Request{Path: readPath, Token: "background", Size: maxReadBytes})
	stopOperations := s.runOperationsUntilStopped(rest)
	s.awaitInFlight("ops")
	s.killDomain(lost)
	s.awaitCompleteConcurrentReads(rest, Request{Path: readPath, Token: "after", Size: maxReadBytes})
	for _, node := range rest {
		s.awaitOperations(node)
	}
	stopReads()
	s.checkAllAtMostOnce(stopOperations())
}

// checkAllAtMostOnce is checkAtMostOnce for many operations with one response each. It reads the upstreams' records
// once.
func (s *testFleet) checkAllAtMostOnce(answers map[string]Answer) {
	s.t.Helper()
	recorded, err := s.Runs()
	s.must(err)
	for name, answer := range answers {
		runs := len(recorded[name])
		if runs > 1 || answer.Complete && runs == 0 || answer.Verdict == NotRun && runs > 0 {
			s.t.Errorf("operation %s ran %d times; its outcome is %s", name, runs, answer.Outcome())
		}
	}
	if len(answers) == 0 {
		s.t.Error("no operations")
	}
}

// awaitOperations sends rounds of operations until all responses of a round are complete.
func (s *testFleet) awaitOperations(node *Node) {
	s.t.Helper()
	const round = 8
	rounds := 0
	s.await("operations through "+node.ID, func() error {
		rounds++
		for i := range round {
			name := fmt.Sprintf("%s-round-%d-%d", node.ID, rounds, i)
			answer := s.caller.RunOperation(s.ctx, node.Callers, operation(name))
			s.checkAtMostOnce(name, answer)
			if err := answer.requireComplete(); err != nil {
				return err
			}
		}
		return nil
	})
}
