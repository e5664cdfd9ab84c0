package fleettest

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"
)

// operationWork keeps operations in flight at the moment of a kill.
const operationWork = 50 * time.Millisecond

// inDomain returns the nodes in the failure domain, and the others.
func (s *scene) inDomain(name string) (inside, outside []*Node) {
	for _, node := range s.Nodes {
		if node.Domain.Name == name {
			inside = append(inside, node)
		} else {
			outside = append(outside, node)
		}
	}
	return inside, outside
}

// killDomain ends all daemons and upstreams of the failure domain. All get the signal before the first end is awaited.
func (s *scene) killDomain(name string) {
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

// approveUntilStopped sends operations with names of their own through each node until the returned function is called,
// which returns the answers by name.
func (s *scene) approveUntilStopped(nodes []*Node) (stop func() map[string]Answer) {
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
				answer := s.caller.Approve(s.ctx, node.Callers, request)
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

// Guards against a fleet whose remaining nodes do not get over the loss of many daemons and upstreams at the same
// moment. Promise: after a failure domain is killed under traffic, the rest comes to answer reads and operations through
// all its nodes, and no operation runs twice or is denied.
func TestLossOfFailureDomain(t *testing.T) {
	const lost = "hobart-a"
	s := start(t, layoutOf(4, 4))
	inside, rest := s.inDomain(lost)
	if len(inside) != len(rest) {
		t.Fatalf("%d nodes inside, %d outside", len(inside), len(rest))
	}
	stopReads := s.fetchUntilStopped(rest, Request{Path: readPath, Token: "background", Size: maxReadBytes})
	stopOperations := s.approveUntilStopped(rest)
	s.inFlight("ops")
	s.killDomain(lost)
	s.awaitWholeBatch(rest, Request{Path: readPath, Token: "after", Size: maxReadBytes})
	for _, node := range rest {
		s.awaitOperations(node)
	}
	stopReads()
	s.checkAllOnce(stopOperations())
}

// checkAllOnce is checkOnce for many operations with one answer each, with one look at the upstreams' records.
func (s *scene) checkAllOnce(answers map[string]Answer) {
	s.t.Helper()
	recorded, err := s.Runs()
	s.must(err)
	for name, answer := range answers {
		runs := len(recorded[name])
		if runs > 1 || answer.Whole && runs == 0 || answer.Verdict == NotRun && runs > 0 {
			s.t.Errorf("operation %s ran %d times and was answered %s", name, runs, answer.Outcome())
		}
	}
	if len(answers) == 0 {
		s.t.Error("no operations")
	}
}

// awaitOperations sends operations in rounds until all of a round are answered whole.
func (s *scene) awaitOperations(node *Node) {
	s.t.Helper()
	const round = 8
	rounds := 0
	s.await("operations through "+node.ID, func() error {
		rounds++
		for i := range round {
			name := fmt.Sprintf("%s-round-%d-%d", node.ID, rounds, i)
			answer := s.caller.Approve(s.ctx, node.Callers, operation(name))
			s.checkOnce(name, answer)
			if err := answer.wholeOrError(); err != nil {
				return err
			}
		}
		return nil
	})
}
