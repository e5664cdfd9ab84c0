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

// takeStoreDown makes every call of the store fail until the end of the test.
func (s *scene) takeStoreDown() {
	s.t.Helper()
	s.must(s.Store.SetFaults(s.ctx, fakestore.Faults{Down: true}))
}

// crashed returns the number of upstreams of the service that have ended.
func (s *scene) crashed(service string) int {
	crashed := 0
	for _, upstream := range s.Targets(service) {
		if !upstream.Running() {
			crashed++
		}
	}
	return crashed
}

// Guards against a quarantine that only the store carries from node to node. Promise: with the store down, a read that
// crashes its upstreams and is resent through all nodes in turn takes down at most two of them, and other reads go on.
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
		t.Errorf("%d upstreams crashed; want 1 to %d; answers %s", crashed, maxCrashes, outcomes(answers))
	}
	if last := answers[len(answers)-1]; last.Reason != "quarantined" {
		t.Errorf("last answer %s; want quarantined", last.Outcome())
	}
	s.awaitWhole("after", maxReadBytes)
}

// Guards against the same with an operation for which the caller gets a new ticket from another node each time.
// Promise: with the store down, it takes down at most two upstreams.
func TestCrashingTicketedOperationIsQuarantinedWithoutTheStore(t *testing.T) {
	s := start(t, layoutOf(1, 4))
	s.takeStoreDown()
	var answers []Answer
	for i := range 2 * len(s.Nodes) {
		node := s.Nodes[i%len(s.Nodes)]
		ticket, err := s.caller.Ticket(s.ctx, node.Callers)
		s.must(err)
		request := Request{Path: operationPath, Token: "poison", Ticket: ticket, Poison: true}
		answers = append(answers, s.caller.Approve(s.ctx, node.Callers, request))
	}
	if crashed := s.crashed("ops"); crashed == 0 || crashed > maxCrashes {
		t.Errorf("%d upstreams crashed; want 1 to %d; answers %s", crashed, maxCrashes, outcomes(answers))
	}
	if last := answers[len(answers)-1]; last.Reason != "quarantined" {
		t.Errorf("last answer %s; want quarantined", last.Outcome())
	}
}

// ticketedInFlight sends an operation with a ticket of the issuer and returns the request, the target that runs it and
// the channel of its answer. The targets hang until their faults are changed.
func (s *scene) ticketedInFlight(through, issuer *Node) (Request, *Upstream, <-chan Answer) {
	s.t.Helper()
	s.setFaults(s.Targets("ops"), fakeupstream.Faults{Hang: true})
	ticket, err := s.caller.Ticket(s.ctx, issuer.Callers)
	s.must(err)
	request := Request{Path: operationPath, Token: "op-1", Ticket: ticket}
	answers := s.approveInBackground(through, request)
	running := s.inFlight("ops")
	s.await("the run in the record", func() error {
		if s.runsOf("op-1") == 0 {
			return errors.New("no run")
		}
		return nil
	})
	return request, running, answers
}

// checkNotDenied checks that an answer to an operation that ran is the recorded answer or says that it may have run.
func (s *scene) checkNotDenied(name string, answer Answer) {
	s.t.Helper()
	if answer.Verdict != MayHaveRun && !answer.Whole {
		s.t.Errorf("%s: operation ran and was answered %s, status %d, %v", name, answer.Outcome(), answer.Status, answer.Err)
	}
}

// Guards against a second run of a ticketed operation, or a denial of the first, when the store is down and the
// admitting node is killed while the operation runs. Promise: the first answer and the answers to resends through other
// nodes say that it may have run or are the recorded answer, and it runs once. The ticket's record is at a third node,
// or is lost with the admitting node.
func TestStoreDownAndAdmittingNodeKilledWithTicketInFlight(t *testing.T) {
	for name, beside := range map[string]bool{"record kept": false, "record lost": true} {
		t.Run(name, func(t *testing.T) {
			s := start(t, layoutOf(2, 2))
			through, issuer := s.nodesOf("reads")[0], s.nodesOf("reads")[1]
			if beside {
				issuer = s.onlyOperationsNode()
			}
			s.takeStoreDown()
			request, running, answers := s.ticketedInFlight(through, issuer)
			if beside && running.Node != issuer {
				t.Fatalf("%s runs the operation; want the node of the ticket", running.Node.ID)
			}
			running.Node.Kill()
			s.setFaults(s.Targets("ops"), fakeupstream.Faults{})
			s.checkNotDenied("first answer", <-answers)
			for _, node := range s.nodesOf("reads") {
				s.checkNotDenied("resend through "+node.ID, s.caller.Approve(s.ctx, node.Callers, request))
			}
			if runs := s.runsOf("op-1"); runs != 1 {
				t.Errorf("op-1 ran %d times; want 1", runs)
			}
		})
	}
}

// onlyOperationsNode drains all targets of operations but one, and returns the node beside it. The nodes beside the
// others refuse operations from then on.
func (s *scene) onlyOperationsNode() *Node {
	s.t.Helper()
	targets := s.Targets("ops")
	for _, draining := range targets[1:] {
		s.must(draining.DrainAndHold(s.ctx))
		s.must(draining.WaitAccepted(s.ctx, "draining"))
	}
	return targets[0].Node
}

// fetchUntilStopped reads through the nodes until the returned function is called. Reads may fail while they say so.
func (s *scene) fetchUntilStopped(nodes []*Node, r Request) (stop func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	var wait sync.WaitGroup
	for _, node := range nodes {
		wait.Go(func() {
			for ctx.Err() == nil {
				s.checkHonest(s.caller.Fetch(ctx, node.Callers, r))
			}
		})
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

// checkHonest checks that an answer that is not whole does not pass for a whole one.
func (s *scene) checkHonest(answer Answer) {
	s.t.Helper()
	if !answer.Whole && answer.Verdict == Ran && answer.Status == http.StatusOK && answer.Err == nil {
		s.t.Errorf("an answer that is not whole came without an error: %+v", answer)
	}
}

// Guards against a fleet that needs the store to avoid a target. Promise: with the store down, an upstream is killed
// under reads, and reads come to be answered whole through every node.
func TestStoreDownAndUpstreamKilledUnderReads(t *testing.T) {
	s := start(t, layoutOf(3, 1))
	s.takeStoreDown()
	stop := s.fetchUntilStopped(s.Nodes, Request{Path: readPath, Token: "background", Size: maxReadBytes})
	killed := s.inFlight("reads")
	killed.Kill()
	s.awaitWhole("after", maxReadBytes)
	stop()
}
