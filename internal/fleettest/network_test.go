package fleettest

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/relay"
)

// longWork is longer than the frame timeout of peer connections (design 4.3: 2 s).
const longWork = 3 * time.Second

// requireRelayed returns the relay of the node once traffic has passed it in both directions, which takes up to a round of pulls
// after a start. It fails the test if none does: faults of the relay would then have no effect.
func (s *testFleet) requireRelayed(node *Node) *relay.Relay {
	s.t.Helper()
	s.await("bytes through the relay of "+node.ID, func() error {
		if node.Relay.Bytes(relay.Forward) == 0 || node.Relay.Bytes(relay.Backward) == 0 {
			return errors.New("none")
		}
		return nil
	})
	return node.Relay
}

// Guards against a lost response or a second run when the connection of an operation is blackholed for good while new
// connections work. The response must be recovered, with at most one run.
func TestBlackholedConnectionWhileNewOnesWork(t *testing.T) {
	s := startRelayed(t, layoutOf(1, 1))
	accepting, admitting := s.nodesOf("reads")[0], s.nodesOf("ops")[0]
	s.requireCompleteOperation(accepting, operation("warm-up"))
	link := s.requireRelayed(admitting)
	request := operation("op-1")
	request.Work = longWork
	answers := s.startOperation(accepting, request)
	s.awaitInFlight("ops")
	if link.Blackhole() == 0 {
		t.Fatal("no connection to blackhole")
	}
	answer := <-answers
	if !answer.Complete {
		t.Errorf("outcome %s, status %d, %v", answer.Outcome(), answer.Status, answer.Err)
	}
	s.checkAtMostOnce("op-1", answer)
}

// Guards against requests that fail on blackholed idle connections. The next reads must succeed on new connections.
func TestBlackholedIdleConnections(t *testing.T) {
	s := startRelayed(t, layoutOf(1, 1))
	accepting := s.nodesOf("ops")[0]
	s.readAll([]*Node{accepting}, "before", 10)
	s.requireRelayed(s.nodesOf("reads")[0]).Blackhole()
	s.readAll([]*Node{accepting}, "after", 10)
}

// Guards against a one-way network cut during an operation. The running operation must not be reported as not run,
// reads must be served by other targets, and a client retry after the cut has healed must not run the operation again.
func TestOneWayCut(t *testing.T) {
	for name, direction := range map[string]relay.Direction{"towards the node": relay.Forward, "back from the node": relay.Backward} {
		t.Run(name, func(t *testing.T) {
			s := startRelayed(t, layoutOf(2, 1))
			accepting, admitting := s.nodesOf("reads")[0], s.nodesOf("ops")[0]
			s.requireCompleteOperation(accepting, operation("warm-up"))
			link := s.requireRelayed(admitting)
			request := operation("op-1")
			request.Work = longWork
			request.Timeout = 2 * longWork
			answers := s.startOperation(accepting, request)
			s.awaitInFlight("ops")
			link.Cut(direction)
			s.readAll(s.nodesOf("reads"), "during", 40)
			during := <-answers
			if during.Verdict == NotRun {
				t.Errorf("the running operation has outcome %s", during.Outcome())
			}
			link.Heal(direction)
			retried := s.retryUntilResolved(accepting, operation("op-1"))
			s.checkAtMostOnce("op-1", during, retried)
			s.await("new operations to pass the healed link", func() error {
				return s.caller.RunOperation(s.ctx, accepting.Callers, operation("after")).requireComplete()
			})
		})
	}
}

// requireCompleteOperation sends an operation and requires a complete response.
func (s *testFleet) requireCompleteOperation(node *Node, r Request) {
	s.t.Helper()
	s.must(s.caller.RunOperation(s.ctx, node.Callers, r).requireComplete())
}
