package fleettest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/sardinereach/sardinereach/internal/fakeupstream"
)

// Guards against answers that reach another request, when callers give up midway and connections are reused. Promise:
// each answer that a caller gets is whole and its own.
func TestAnswersBelongToTheirRequests(t *testing.T) {
	s := start(t, layoutOf(3, 1))
	const callers, requests = 8, 30
	var wait sync.WaitGroup
	for c := range callers {
		rng := rand.New(rand.NewPCG(testSeed, uint64(c)))
		wait.Go(func() {
			for i := range requests {
				name := fmt.Sprintf("caller-%d-%d", c, i)
				node := s.Nodes[rng.IntN(len(s.Nodes))]
				if rng.IntN(4) == 0 {
					s.abandon(node, name)
					continue
				}
				s.read(node, name, rng.Int64N(maxReadBytes*4))
			}
		})
	}
	wait.Wait()
}

// abandon starts a read and gives up after its first bytes.
func (s *scene) abandon(node *Node, name string) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	s.caller.Fetch(ctx, node.Callers, Request{Path: readPath, Token: name, Size: longBytes, Midway: cancel})
}

// Guards against a broken answer that is passed on as whole. Promise: with one target that truncates its answers, each
// read is answered whole from another one, or its caller sees that it broke off.
func TestTruncatedAnswersAreNotWhole(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	s.setFaults(s.Targets("reads")[:1], fakeupstream.Faults{TruncateAfterBytes: 10_000})
	s.readSmall(60)
	const size = 4 << 20
	for i, node := range s.Nodes {
		answer := s.caller.Fetch(s.ctx, node.Callers, Request{Path: readPath, Token: fmt.Sprint("large-", i), Size: size})
		if !answer.Whole && answer.Err == nil && answer.Verdict == Ran {
			t.Errorf("a truncated answer came as whole: %+v", answer)
		}
	}
}

// readSmall reads bodies that a node holds as a whole before it passes them on, so that a broken one can be retried.
func (s *scene) readSmall(count int) {
	s.t.Helper()
	for i := range count {
		s.read(s.Nodes[i%len(s.Nodes)], fmt.Sprintf("small-%d", i), 20_000)
	}
}

// Guards against a failing upstream that still answers its probes. Promise: reads are answered by the other targets.
func TestProbesDoNotHideFailingWork(t *testing.T) {
	s := start(t, layoutOf(3, 1))
	failing := s.Targets("reads")[0]
	s.setFaults([]*Upstream{failing}, fakeupstream.Faults{FailWork: true})
	client := NewClient()
	defer client.Close()
	whole := func() int {
		n := 0
		for i := range 60 {
			node := s.Nodes[i%len(s.Nodes)]
			if client.Fetch(s.ctx, node.Callers, Request{Path: readPath, Token: "probe", Size: 10}).Whole {
				n++
			}
		}
		return n
	}
	s.await("reads to avoid the failing target", func() error {
		if n := whole(); n < 60 {
			return fmt.Errorf("%d of 60 reads are whole", n)
		}
		return nil
	})
}
