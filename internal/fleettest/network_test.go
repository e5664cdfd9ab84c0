package fleettest

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/relay"
)

// longWork outlasts the time after which a connection without frames counts as silent (design 4.3: 2 s).
const longWork = 3 * time.Second

// relayed requires that the traffic to the node passes its relay. Without it a test of the network would prove nothing.
func (s *scene) relayed(node *Node) *relay.Relay {
	s.t.Helper()
	if node.Relay.Bytes(relay.Forward) == 0 || node.Relay.Bytes(relay.Backward) == 0 {
		s.t.Fatalf("no bytes passed the relay of %s", node.ID)
	}
	return node.Relay
}

// Guards against an answer that is lost, or an operation that runs again, when the connection that carries it goes
// silent for good while new connections work. Promise: the answer is recovered, with one run.
func TestSilentConnectionWhileNewOnesWork(t *testing.T) {
	s := startRelayed(t, layoutOf(1, 1))
	accepting, admitting := s.nodesOf("reads")[0], s.nodesOf("ops")[0]
	s.approveWhole(accepting, operation("warm-up"))
	link := s.relayed(admitting)
	request := operation("op-1")
	request.Work = longWork
	answers := s.approveInBackground(accepting, request)
	s.inFlight("ops")
	if link.Blackhole() == 0 {
		t.Fatal("no connection to silence")
	}
	answer := <-answers
	if !answer.Whole {
		t.Errorf("answered %s, status %d, %v", answer.Outcome(), answer.Status, answer.Err)
	}
	s.checkOnce("op-1", answer)
}

// Guards against requests on idle connections that went silent. Promise: the next reads are answered on new connections.
func TestIdleConnectionsGoSilent(t *testing.T) {
	s := startRelayed(t, layoutOf(1, 1))
	accepting := s.nodesOf("ops")[0]
	s.readAll([]*Node{accepting}, "before", 10)
	s.relayed(s.nodesOf("reads")[0]).Blackhole()
	s.readAll([]*Node{accepting}, "after", 10)
}

// Guards against a one-way cut that makes a running operation look like one that never ran, and that blocks reads for
// which there are other targets. Promise: no answer denies the run, reads go on, and after the cut has healed a resend
// does not run it again.
func TestOneWayCut(t *testing.T) {
	for name, direction := range map[string]relay.Direction{"towards the node": relay.Forward, "back from the node": relay.Backward} {
		t.Run(name, func(t *testing.T) {
			s := startRelayed(t, layoutOf(2, 1))
			accepting, admitting := s.nodesOf("reads")[0], s.nodesOf("ops")[0]
			s.approveWhole(accepting, operation("warm-up"))
			link := s.relayed(admitting)
			request := operation("op-1")
			request.Work = longWork
			request.Timeout = 2 * longWork
			answers := s.approveInBackground(accepting, request)
			s.inFlight("ops")
			link.Cut(direction)
			s.readAll(s.nodesOf("reads"), "during", 40)
			during := <-answers
			if during.Verdict == NotRun {
				t.Errorf("the running operation was answered %s", during.Outcome())
			}
			link.Heal(direction)
			resent := s.settle(accepting, operation("op-1"))
			s.checkOnce("op-1", during, resent)
			s.await("new operations to pass the healed link", func() error {
				return s.caller.Approve(s.ctx, accepting.Callers, operation("after")).wholeOrError()
			})
		})
	}
}

// approveWhole sends an operation that must be answered whole.
func (s *scene) approveWhole(node *Node, r Request) {
	s.t.Helper()
	s.must(s.caller.Approve(s.ctx, node.Callers, r).wholeOrError())
}
