package fleettest

import (
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/fakeupstream"
)

// takeStoreDown makes every call to the store fail until the end of the test.
func (s *testFleet) takeStoreDown() {
	s.t.Helper()
	s.must(s.Store.SetFaults(s.ctx, fakestore.Faults{Down: true}))
}

// crashed returns the number of upstreams of the service that have exited.
func (s *testFleet) crashed(service string) int {
	crashed := 0
	for _, upstream := range s.Targets(service) {
		if !upstream.Running() {
			crashed++
		}
	}
	return crashed
}

// Guards against a quarantine that propagates between nodes only through the store. With the store down, a read that
// crashes its upstreams and is retried through all nodes in turn may crash at most two, and other reads must succeed.
func TestCrashingRequestIsQuarantinedWithoutTheStore(t *testing.T) {
	s := start(t, layoutOf(4, 1))
	s.takeStoreDown()
	poison := Request{Path: readPath, Token: "poison", Size: 13, Poison: true}
	var answers []Answer
	for i := range 2 * len(s.Nodes) {
		node := s.Nodes[i%len(s.Nodes)]
		answers = append(answers, s.caller.Fetch(s.ctx, node.Callers, poison))
	}
	if crashed := s.crashed("reads"); crashed == 0 || crashed > maxCrashes {
		t.Errorf("%d upstreams crashed; want 1 to %d; outcomes %s", crashed, maxCrashes, outcomes(answers))
	}
	if last := answers[len(answers)-1]; last.Reason != "quarantined" {
		t.Errorf("last outcome %s; want quarantined", last.Outcome())
	}
	s.awaitCompleteReads("after", maxReadBytes)
}

// Same as TestCrashingRequestIsQuarantinedWithoutTheStore, for an operation for which the caller gets a new ticket from
// another node each time. It may crash at most two upstreams.
func TestCrashingTicketedOperationIsQuarantinedWithoutTheStore(t *testing.T) {
	s := start(t, layoutOf(1, 4))
	s.takeStoreDown()
	var answers []Answer
	for i := range 2 * len(s.Nodes) {
		node := s.Nodes[i%len(s.Nodes)]
		ticket, err := s.caller.Ticket(s.ctx, node.Callers)
		s.must(err)
		request := Request{Path: operationPath, Token: "poison", Ticket: ticket, Poison: true}
		answers = append(answers, s.caller.RunOperation(s.ctx, node.Callers, request))
	}
	if crashed := s.crashed("ops"); crashed == 0 || crashed > maxCrashes {
		t.Errorf("%d upstreams crashed; want 1 to %d; outcomes %s", crashed, maxCrashes, outcomes(answers))
	}
	if last := answers[len(answers)-1]; last.Reason != "quarantined" {
		t.Errorf("last outcome %s; want quarantined", last.Outcome())
	}
}

// startTicketedOperation sends an operation with a ticket of the issuer and returns the request, the target that runs
// it and a channel that receives its response. The targets hang until their faults are changed.
func (s *testFleet) startTicketedOperation(accepting, issuer *Node) (Request, *Upstream, <-chan Answer) {
	s.t.Helper()
	s.setFaults(s.Targets("ops"), fakeupstream.Faults{Hang: true})
	ticket, err := s.caller.Ticket(s.ctx, issuer.Callers)
	s.must(err)
	request := Request{Path: operationPath, Token: "op-1", Ticket: ticket}
	answers := s.startOperation(accepting, request)
	running := s.awaitInFlight("ops")
	s.await("the run in the run log", func() error {
		if s.runCount("op-1") == 0 {
			return errors.New("no run")
		}
		return nil
	})
	return request, running, answers
}

// checkRunReported checks that the response to an operation that ran is complete, such as the recorded response, or
// reports may-have-run.
func (s *testFleet) checkRunReported(name string, answer Answer) {
	s.t.Helper()
	if answer.Verdict != MayHaveRun && !answer.Complete {
		s.t.Errorf("%s: operation ran but its outcome is %s, status %d, %v", name, answer.Outcome(), answer.Status, answer.Err)
	}
}

// Guards against a second run of a ticketed operation, or a first run that is reported as not run, when the store is
// down and the admitting node is killed while the operation runs. The first response and those to client retries
// through other nodes must be may-have-run or the recorded response, and the operation must run once. The ticket's
// record is stored on a third node, or is lost with the admitting node.
func TestStoreDownAndAdmittingNodeKilledWithTicketInFlight(t *testing.T) {
	for name, ticketOnAdmittingNode := range map[string]bool{"record kept": false, "record lost": true} {
		t.Run(name, func(t *testing.T) {
			s := start(t, layoutOf(2, 2))
			accepting, issuer := s.nodesOf("reads")[0], s.nodesOf("reads")[1]
			if ticketOnAdmittingNode {
				issuer = s.drainAllButOneOperationsTarget()
			}
			s.takeStoreDown()
			request, running, answers := s.startTicketedOperation(accepting, issuer)
			if ticketOnAdmittingNode && running.Node != issuer {
				t.Fatalf("%s runs the operation; want the node of the ticket", running.Node.ID)
			}
			running.Node.Kill()
			s.setFaults(s.Targets("ops"), fakeupstream.Faults{})
			s.checkRunReported("first response", <-answers)
			for _, node := range s.nodesOf("reads") {
				s.checkRunReported("client retry through "+node.ID, s.caller.RunOperation(s.ctx, node.Callers, request))
			}
			if runs := s.runCount("op-1"); runs != 1 {
				t.Errorf("op-1 ran %d times; want 1", runs)
			}
		})
	}
}

// drainAllButOneOperationsTarget drains all targets of operations except the first and returns the admitting node of
// the first. The admitting nodes of the others then refuse operations.
func (s *testFleet) drainAllButOneOperationsTarget() *Node {
	s.t.Helper()
	targets := s.Targets("ops")
	for _, draining := range targets[1:] {
		s.must(draining.DrainAndHold(s.ctx))
		s.must(draining.WaitAccepted(s.ctx, "draining"))
	}
	return targets[0].Node
}

// fetchUntilStopped sends reads through the nodes until stop is called. Reads may fail if the failure is reported.
func (s *testFleet) fetchUntilStopped(nodes []*Node, r Request) (stop func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	var wait sync.WaitGroup
	for _, node := range nodes {
		wait.Go(func() {
			for ctx.Err() == nil {
				s.checkFailureReported(s.caller.Fetch(ctx, node.Callers, r))
			}
		})
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

// checkFailureReported checks that an incomplete response is not reported as a successful one.
func (s *testFleet) checkFailureReported(answer Answer) {
	s.t.Helper()
	if !answer.Complete && answer.Verdict == Ran && answer.Status == http.StatusOK && answer.Err == nil {
		s.t.Errorf("incomplete response without an error: %+v", answer)
	}
}

// Guards against nodes that need the store to avoid a target. With the store down, an upstream is killed under reads,
// and reads through every node must become complete again.
func TestStoreDownAndUpstreamKilledUnderReads(t *testing.T) {
	s := start(t, layoutOf(3, 1))
	s.takeStoreDown()
	stop := s.fetchUntilStopped(s.Nodes, Request{Path: readPath, Token: "background", Size: maxReadBytes})
	killed := s.awaitInFlight("reads")
	killed.Kill()
	s.awaitCompleteReads("after", maxReadBytes)
	stop()
}
