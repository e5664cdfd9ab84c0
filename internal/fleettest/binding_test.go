package fleettest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"

	"github.com/pkg/errors"

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

// Guards against a broken answer that is passed on as whole. Promise: with one target that truncates its answers, no
// caller takes a part for the whole, and the fleet comes to use the other target. Retries are limited by a budget, so
// that reads may fail until then, as failures.
func TestTruncatedAnswersAreNotWhole(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	s.setFaults(s.Targets("reads")[:1], fakeupstream.Faults{TruncateAfterBytes: 10_000})
	for i, size := range []int64{20_000, 4 << 20} {
		s.awaitWhole(fmt.Sprintf("size-%d", i), size)
	}
}

// awaitWhole reads in batches until all reads of a batch are whole. A read that is not must say so.
func (s *scene) awaitWhole(name string, size int64) {
	s.t.Helper()
	const batch = 60
	s.await("whole reads through all nodes", func() error {
		whole := 0
		for i := range batch {
			node := s.Nodes[i%len(s.Nodes)]
			answer := s.caller.Fetch(s.ctx, node.Callers, Request{Path: readPath, Token: name, Size: size})
			if answer.Whole {
				whole++
				continue
			}
			// An upstream's own failure is passed on with its status.
			if answer.Verdict == Ran && answer.Status == http.StatusOK && answer.Err == nil {
				s.t.Errorf("an answer that is not whole came without an error: %+v", answer)
			}
		}
		if whole < batch {
			return errors.Errorf("%d of %d reads are whole", whole, batch)
		}
		return nil
	})
}

// Guards against a target that goes on getting work after its upstream died. Promise: reads come to be answered by the
// other target, and no read is answered wrongly until then.
func TestKilledUpstreamIsAvoided(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	s.Targets("reads")[0].Kill()
	s.awaitWhole("after", maxReadBytes)
}

// Guards against a failing upstream that still answers its probes. Promise: reads are answered by the other targets.
func TestProbesDoNotHideFailingWork(t *testing.T) {
	s := start(t, layoutOf(3, 1))
	s.setFaults(s.Targets("reads")[:1], fakeupstream.Faults{FailWork: true})
	s.awaitWhole("after", 10)
}
