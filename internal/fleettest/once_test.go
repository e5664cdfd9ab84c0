package fleettest

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/fakeupstream"
	"github.com/sardinereach/sardinereach/internal/store"
)

// Guards against a second run of an operation whose admitting node is killed while it runs, when the client retries it
// through another node. At most one run is allowed, and no response may report it as not run.
func TestAdmittingNodeKilledWithOperationInFlight(t *testing.T) {
	s := start(t, layoutOf(2, 2))
	accepting := s.nodesOf("reads")
	s.setFaults(s.Targets("ops"), fakeupstream.Faults{Hang: true})
	first := s.startOperation(accepting[0], operation("op-1"))
	s.awaitInFlight("ops").Node.Kill()
	answer := <-first
	if answer.Verdict == NotRun {
		t.Errorf("the running operation has outcome %s", answer.Outcome())
	}
	s.setFaults(s.Targets("ops"), fakeupstream.Faults{})
	retried := s.retryUntilResolved(accepting[1], operation("op-1"))
	if retried.Verdict == NotRun {
		t.Errorf("the client retry has outcome %s", retried.Outcome())
	}
	s.checkAtMostOnce("op-1", answer, retried)
}

// Guards against a transport retry: http.Transport itself retries a request with an idempotency key when a connection
// breaks. At most one run is allowed.
func TestAnswerDroppedAfterTheRun(t *testing.T) {
	s := start(t, layoutOf(1, 1))
	accepting := s.nodesOf("reads")[0]
	if answer := s.caller.RunOperation(s.ctx, accepting.Callers, operation("warm-up")); !answer.Complete {
		t.Fatalf("warm-up: %s %v", answer.Outcome(), answer.Err)
	}
	s.setFaults(s.Targets("ops"), fakeupstream.Faults{DropAnswer: true})
	answer := s.caller.RunOperation(s.ctx, accepting.Callers, operation("op-1"))
	if answer.Verdict != MayHaveRun {
		t.Errorf("outcome %s; want %s", answer.Outcome(), MayHaveRun)
	}
	s.setFaults(s.Targets("ops"), fakeupstream.Faults{})
	retried := s.caller.RunOperation(s.ctx, s.nodesOf("ops")[0].Callers, operation("op-1"))
	s.checkAtMostOnce("op-1", answer, retried)
	if runs := s.runCount("op-1"); runs != 1 {
		t.Errorf("op-1 ran %d times; want 1", runs)
	}
}

// Guards against an accepting node that is paused after it wrote its claim and dispatches when it resumes after the
// deadline. The late claim holder must not dispatch, and a client retry through another node may run at most once.
func TestAcceptingNodePausedBetweenClaimAndDispatch(t *testing.T) {
	s := start(t, layoutOf(2, 2))
	accepting := s.nodesOf("reads")
	// The delay leaves time to pause the node before the store's response arrives.
	s.must(s.Store.SetFaults(s.ctx, fakestore.Faults{DelayMS: 1000}))
	request := operation("op-1")
	request.Timeout = 4 * time.Second
	sent := time.Now()
	compareAndSwapCalls := s.compareAndSwapCalls()
	first := s.startOperation(accepting[0], request)
	s.await("the claim to reach the store", func() error {
		if s.compareAndSwapCalls() == compareAndSwapCalls {
			return errors.New("no compare-and-swap call")
		}
		return nil
	})
	s.must(accepting[0].Pause())
	s.must(s.Store.SetFaults(s.ctx, fakestore.Faults{}))
	s.await("the claim in the store", func() error {
		keys, err := s.Store.Keys(s.ctx, "claims/ops/")
		if err == nil && len(keys) == 0 {
			err = errors.New("no claim")
		}
		return err
	})
	during := s.caller.RunOperation(s.ctx, accepting[1].Callers, operation("op-1"))
	s.await("the deadline", func() error {
		if time.Since(sent) < request.Timeout {
			return errors.New("not yet")
		}
		return nil
	})
	s.must(accepting[0].Resume())
	late := <-first
	if runs := s.runCount("op-1"); runs != 0 {
		t.Errorf("op-1 ran %d times after its deadline", runs)
	}
	retried := s.retryUntilResolved(accepting[1], operation("op-1"))
	s.checkAtMostOnce("op-1", late, during, retried)
}

// compareAndSwapCalls returns the number of compare-and-swap calls that the store has received.
func (s *testFleet) compareAndSwapCalls() uint64 {
	s.t.Helper()
	calls, err := s.Store.Calls(s.ctx, store.KindCompareAndSwap)
	s.must(err)
	return calls
}

// Guards against an attempt that its paused admitting node runs after the caller received not-run. No operation may run
// twice, none that was refused may run late, and reads must be served by other targets.
func TestAdmittingNodePausedAndResumed(t *testing.T) {
	s := start(t, layoutOf(2, 2))
	accepting := s.nodesOf("reads")
	paused := s.nodesOf("ops")[0]
	s.must(paused.Pause())
	const count = 12
	answers := make([]Answer, count)
	var wait sync.WaitGroup
	for i := range count {
		wait.Go(func() {
			request := operation(fmt.Sprintf("op-%d", i))
			request.Timeout = 6 * time.Second
			answers[i] = s.caller.RunOperation(s.ctx, accepting[i%2].Callers, request)
		})
	}
	s.readAll(accepting, "during", 40)
	wait.Wait()
	s.must(paused.Resume())
	s.must(paused.WaitReady(s.ctx))
	s.readAll(s.Nodes, "after", 40)
	for i := range count {
		s.checkAtMostOnce(fmt.Sprintf("op-%d", i), answers[i])
	}
	for i := range count {
		name := fmt.Sprintf("op-%d", i)
		retried := s.retryUntilResolved(accepting[(i+1)%2], operation(name))
		s.checkAtMostOnce(name, answers[i], retried)
	}
}

// Guards against a client retry that does not get the recorded response, and against a key that is accepted for another
// request. There must be one run, the same response through every node, and a refusal of the reused key.
func TestClientRetryGetsRecordedAnswer(t *testing.T) {
	s := start(t, layoutOf(1, 2))
	var first Answer
	for i, node := range s.Nodes {
		answer := s.caller.RunOperation(s.ctx, node.Callers, operation("op-1"))
		if !answer.Complete || answer.Replayed != (i > 0) {
			t.Errorf("through %s: %s, replayed %t, %v", node.ID, answer.Outcome(), answer.Replayed, answer.Err)
		}
		if i == 0 {
			first = answer
		}
		if answer.Target != first.Target {
			t.Errorf("response of %s; want that of %s", answer.Target, first.Target)
		}
	}
	other := Request{Path: operationPath, Token: "op-2", Key: "op-1"}
	answer := s.caller.RunOperation(s.ctx, s.Nodes[0].Callers, other)
	if answer.Verdict != NotRun || answer.Reason != "key_reused" {
		t.Errorf("reused key: %s", answer.Outcome())
	}
	s.checkAtMostOnce("op-1", first)
	s.checkAtMostOnce("op-2", answer)
}
