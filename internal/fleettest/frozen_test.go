package fleettest

import (
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fakeupstream"
)

const (
	// stallAfter is the number of bytes of a body after which a stalled upstream sends nothing more.
	stallAfter = 10_000
	// stalledSize is more than a node holds back before it passes an answer on.
	stalledSize = 4 << 20
	// faultTimeout is the time that callers give requests that may reach a silent upstream.
	faultTimeout = 4 * time.Second
)

// awaitWholeBatch sends batches of reads, those of a batch at the same time, until all reads of a batch are whole.
func (s *scene) awaitWholeBatch(nodes []*Node, r Request) {
	s.t.Helper()
	const batch = 24
	s.await("whole reads", func() error {
		answers := make([]Answer, batch)
		var wait sync.WaitGroup
		for i := range batch {
			wait.Go(func() { answers[i] = s.caller.Fetch(s.ctx, nodes[i%len(nodes)].Callers, r) })
		}
		wait.Wait()
		for i := range answers {
			s.checkHonest(answers[i])
		}
		for i := range answers {
			if !answers[i].Whole {
				return errors.Wrap(answers[i].wholeOrError(), nodes[i%len(nodes)].ID)
			}
		}
		return nil
	})
}

// Guards against a fleet that keeps sending reads to an upstream that takes connections and answers nothing, as a
// process stopped with SIGSTOP does. Promise: reads come to be answered whole by the other targets.
func TestFrozenUpstreamIsAvoided(t *testing.T) {
	s := start(t, layoutOf(3, 1))
	stop := s.fetchUntilStopped(s.Nodes, Request{Path: readPath, Token: "background", Size: maxReadBytes, Timeout: faultTimeout})
	defer stop()
	frozen := s.Targets("reads")[s.rng.IntN(3)]
	s.must(frozen.Pause())
	s.awaitWholeBatch(s.Nodes, Request{Path: readPath, Token: "after", Size: maxReadBytes, Timeout: faultTimeout})
}

// Guards against an answer that stops in the middle of its body while the connection stays open. Promise: no caller
// takes a part for the whole, and reads come to be answered whole by the other targets.
func TestStalledBodyIsAvoided(t *testing.T) {
	for name, size := range map[string]int64{"short": 2 * stallAfter, "long": stalledSize} {
		t.Run(name, func(t *testing.T) {
			s := start(t, layoutOf(3, 1))
			stalled := s.rng.IntN(3)
			s.setFaults(s.Targets("reads")[stalled:stalled+1], fakeupstream.Faults{StallAfterBytes: stallAfter})
			s.awaitWholeBatch(s.Nodes, Request{Path: readPath, Token: "after", Size: size, Timeout: faultTimeout})
		})
	}
}

// Guards against an operation on a frozen upstream that is answered as if it had not run, or that is sent to another
// target. Promise: it is answered may-have-run at its deadline, and it runs at most once, also after the upstream has
// resumed and the caller has resent it.
func TestOperationOnFrozenUpstream(t *testing.T) {
	s := start(t, layoutOf(2, 2))
	through := s.nodesOf("reads")
	s.approveWhole(through[0], operation("warm-up"))
	for _, upstream := range s.Targets("ops") {
		s.must(upstream.Pause())
	}
	request := operation("op-1")
	request.Timeout = faultTimeout
	first := s.caller.Approve(s.ctx, through[0].Callers, request)
	if first.Verdict != MayHaveRun {
		t.Errorf("answered %s; want %s", first.Outcome(), MayHaveRun)
	}
	for _, upstream := range s.Targets("ops") {
		s.must(upstream.Resume())
	}
	resent := s.settle(through[1], operation("op-1"))
	s.await("new operations to be answered", func() error {
		return s.caller.Approve(s.ctx, through[1].Callers, operation("after")).wholeOrError()
	})
	s.checkOnce("op-1", first, resent)
}
