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

// Guards against a second run of an operation whose admitting node was killed while the operation ran, when the caller
// resends it through another node. Promise: at most one run, and no answer that denies a run that happened.
func TestAdmittingNodeKilledWithOperationInFlight(t *testing.T) {
	s := start(t, layoutOf(2, 2))
	through := s.nodesOf("reads")
	s.setFaults(s.Targets("ops"), fakeupstream.Faults{Hang: true})
	first := s.approveInBackground(through[0], operation("op-1"))
	s.inFlight("ops").Node.Kill()
	answer := <-first
	if answer.Verdict == NotRun {
		t.Errorf("the running operation was answered %s", answer.Outcome())
	}
	s.setFaults(s.Targets("ops"), fakeupstream.Faults{})
	resent := s.settle(through[1], operation("op-1"))
	if resent.Verdict == NotRun {
		t.Errorf("the resent operation was answered %s", resent.Outcome())
	}
	s.checkOnce("op-1", answer, resent)
}

// Guards against an HTTP client that resends a request with an idempotency key by itself when a connection breaks.
// Promise: at most one run.
func TestAnswerDroppedAfterTheRun(t *testing.T) {
	s := start(t, layoutOf(1, 1))
	through := s.nodesOf("reads")[0]
	if answer := s.caller.Approve(s.ctx, through.Callers, operation("warm-up")); !answer.Whole {
		t.Fatalf("warm-up: %s %v", answer.Outcome(), answer.Err)
	}
	s.setFaults(s.Targets("ops"), fakeupstream.Faults{DropAnswer: true})
	answer := s.caller.Approve(s.ctx, through.Callers, operation("op-1"))
	if answer.Verdict != MayHaveRun {
		t.Errorf("answered %s; want %s", answer.Outcome(), MayHaveRun)
	}
	s.setFaults(s.Targets("ops"), fakeupstream.Faults{})
	resent := s.caller.Approve(s.ctx, s.nodesOf("ops")[0].Callers, operation("op-1"))
	s.checkOnce("op-1", answer, resent)
	if runs := s.runsOf("op-1"); runs != 1 {
		t.Errorf("op-1 ran %d times; want 1", runs)
	}
}

// Guards against an accepting node that is paused after it made its claim and dispatches when it resumes after the
// deadline. Promise: the late holder does not dispatch, and a resend through another node runs at most once.
func TestAcceptingNodePausedBetweenClaimAndDispatch(t *testing.T) {
	s := start(t, layoutOf(2, 2))
	through := s.nodesOf("reads")
	// The delay leaves time to pause the node before the store's answer can reach it.
	s.must(s.Store.SetFaults(s.ctx, fakestore.Faults{DelayMS: 1000}))
	request := operation("op-1")
	request.Timeout = 4 * time.Second
	sent := time.Now()
	swaps := s.swaps()
	first := s.approveInBackground(through[0], request)
	s.await("the claim to reach the store", func() error {
		if s.swaps() == swaps {
			return errors.New("no swap")
		}
		return nil
	})
	s.must(through[0].Pause())
	s.must(s.Store.SetFaults(s.ctx, fakestore.Faults{}))
	s.await("the claim in the store", func() error {
		keys, err := s.Store.Keys(s.ctx, "claims/ops/")
		if err == nil && len(keys) == 0 {
			err = errors.New("no claim")
		}
		return err
	})
	during := s.caller.Approve(s.ctx, through[1].Callers, operation("op-1"))
	s.await("the deadline", func() error {
		if time.Since(sent) < request.Timeout {
			return errors.New("not yet")
		}
		return nil
	})
	s.must(through[0].Resume())
	late := <-first
	if runs := s.runsOf("op-1"); runs != 0 {
		t.Errorf("op-1 ran %d times after its deadline", runs)
	}
	resent := s.settle(through[1], operation("op-1"))
	s.checkOnce("op-1", late, during, resent)
}

// swaps returns the number of compare-and-swap calls that have reached the store.
func (s *scene) swaps() uint64 {
	s.t.Helper()
	calls, err := s.Store.Calls(s.ctx, store.KindCompareAndSwap)
	s.must(err)
	return calls
}

// Guards against an attempt that runs after its node was paused and the caller was told that it did not run. Promise: no
// operation runs twice, none that was refused runs late, and reads go on at other targets.
func TestAdmittingNodePausedAndResumed(t *testing.T) {
	s := start(t, layoutOf(2, 2))
	through := s.nodesOf("reads")
	paused := s.nodesOf("ops")[0]
	s.must(paused.Pause())
	const count = 12
	answers := make([]Answer, count)
	var wait sync.WaitGroup
	for i := range count {
		wait.Go(func() {
			request := operation(fmt.Sprintf("op-%d", i))
			request.Timeout = 6 * time.Second
			answers[i] = s.caller.Approve(s.ctx, through[i%2].Callers, request)
		})
	}
	s.readAll(through, "during", 40)
	wait.Wait()
	s.must(paused.Resume())
	s.must(paused.WaitReady(s.ctx))
	s.readAll(s.Nodes, "after", 40)
	for i := range count {
		s.checkOnce(fmt.Sprintf("op-%d", i), answers[i])
	}
	for i := range count {
		name := fmt.Sprintf("op-%d", i)
		resent := s.settle(through[(i+1)%2], operation(name))
		s.checkOnce(name, answers[i], resent)
	}
}

// Guards against a resend that does not get the recorded answer, and against a key that is accepted for another request.
// Promise: one run, the same answer through every node, and a refusal for a reused key.
func TestResentOperationGetsItsRecordedAnswer(t *testing.T) {
	s := start(t, layoutOf(1, 2))
	var first Answer
	for i, node := range s.Nodes {
		answer := s.caller.Approve(s.ctx, node.Callers, operation("op-1"))
		if !answer.Whole || answer.Replayed != (i > 0) {
			t.Errorf("through %s: %s, replayed %t, %v", node.ID, answer.Outcome(), answer.Replayed, answer.Err)
		}
		if i == 0 {
			first = answer
		}
		if answer.Target != first.Target {
			t.Errorf("answer of %s; want that of %s", answer.Target, first.Target)
		}
	}
	other := Request{Path: operationPath, Token: "op-2", Key: "op-1"}
	answer := s.caller.Approve(s.ctx, s.Nodes[0].Callers, other)
	if answer.Verdict != NotRun || answer.Reason != "key_reused" {
		t.Errorf("reused key: %s", answer.Outcome())
	}
	s.checkOnce("op-1", first)
	s.checkOnce("op-2", answer)
}
