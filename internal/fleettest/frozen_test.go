package fleettest

import (
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fakeupstream"
)

const (
	// stallAfter is the number of bytes of a body after which a stalled upstream stops sending.
	stallAfter = 10_000
	// stalledSize is more than a node buffers before it starts to forward a response.
	stalledSize = 4 << 20
	// faultTimeout is the timeout of requests that may reach an unresponsive upstream.
	faultTimeout = 4 * time.Second
)

// awaitCompleteConcurrentReads sends batches of concurrent reads until all responses of a batch are complete.
func (s *testFleet) awaitCompleteConcurrentReads(nodes []*Node, r Request) {
	s.t.Helper()
	const batch = 24
	s.await("complete reads", func() error {
		answers := make([]Answer, batch)
		var wait sync.WaitGroup
		for i := range batch {
			wait.Go(func() { answers[i] = s.caller.Fetch(s.ctx, nodes[i%len(nodes)].Callers, r) })
		}
		wait.Wait()
		for i := range answers {
			s.checkFailureReported(answers[i])
		}
		for i := range answers {
			if !answers[i].Complete {
				return errors.Wrap(answers[i].requireComplete(), nodes[i%len(nodes)].ID)
			}
		}
		return nil
	})
}

// Guards against reads that are still sent to an upstream that accepts connections but never responds, such as a
// process stopped with SIGSTOP. All reads must move to the other targets.
func TestFrozenUpstreamIsAvoided(t *testing.T) {
	s := start(t, layoutOf(3, 1))
	stop := s.fetchUntilStopped(s.Nodes, Request{Path: readPath, Token: "background", Size: maxReadBytes, Timeout: faultTimeout})
	defer stop()
	frozen := s.Targets("reads")[s.rng.IntN(3)]
	s.must(frozen.Pause())
	s.awaitCompleteConcurrentReads(s.Nodes, Request{Path: readPath, Token: "after", Size: maxReadBytes, Timeout: faultTimeout})
}

// Guards against a response that stalls in the middle of its body while the connection stays open. No caller may
// receive it as complete, and all reads must move to the other targets.
func TestStalledBodyIsAvoided(t *testing.T) {
	for name, size := range map[string]int64{"short": 2 * stallAfter, "long": stalledSize} {
		t.Run(name, func(t *testing.T) {
			s := start(t, layoutOf(3, 1))
			stalled := s.rng.IntN(3)
			s.setFaults(s.Targets("reads")[stalled:stalled+1], fakeupstream.Faults{StallAfterBytes: stallAfter})
			s.awaitCompleteConcurrentReads(s.Nodes, Request{Path: readPath, Token: "after", Size: size, Timeout: faultTimeout})
		})
	}
}

// Guards against an operation on a frozen upstream that is reported as not run, or that is sent to another target. The
// verdict at its deadline must be may-have-run. It may run at most once, even after the upstream has resumed and the
// client has retried it.
func TestOperationOnFrozenUpstream(t *testing.T) {
	s := start(t, layoutOf(2, 2))
	accepting := s.nodesOf("reads")
	s.requireCompleteOperation(accepting[0], operation("warm-up"))
	for _, upstream := range s.Targets("ops") {
		s.must(upstream.Pause())
	}
	request := operation("op-1")
	request.Timeout = faultTimeout
	first := s.caller.RunOperation(s.ctx, accepting[0].Callers, request)
	if first.Verdict != MayHaveRun {
		t.Errorf("outcome %s; want %s", first.Outcome(), MayHaveRun)
	}
	for _, upstream := range s.Targets("ops") {
		s.must(upstream.Resume())
	}
	retried := s.retryUntilResolved(accepting[1], operation("op-1"))
	s.await("new operations to succeed", func() error {
		return s.caller.RunOperation(s.ctx, accepting[1].Callers, operation("after")).requireComplete()
	})
	s.checkAtMostOnce("op-1", first, retried)
}
