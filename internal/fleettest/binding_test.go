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

// Checks that each response is complete and belongs to its request, while other callers cancel reads midway and
// connections are reused. Guards against a response that is delivered to another request.
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
					s.cancelRead(node, name)
					continue
				}
				s.read(node, name, rng.Int64N(maxReadBytes*4))
			}
		})
	}
	wait.Wait()
}

// cancelRead starts a read and cancels it after its first bytes.
func (s *testFleet) cancelRead(node *Node, name string) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	s.caller.Fetch(ctx, node.Callers, Request{Path: readPath, Token: name, Size: largeBodyBytes, OnFirstBytes: cancel})
}

// Guards against a truncated response that is forwarded as complete. With one target that truncates its responses, no
// caller may receive a truncated response as complete, and the nodes must move all reads to the other target. Retries
// are limited by a budget, so until then reads may fail with an error.
func TestTruncatedAnswersAreNotComplete(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	s.setFaults(s.Targets("reads")[:1], fakeupstream.Faults{TruncateAfterBytes: 10_000})
	for i, size := range []int64{20_000, 4 << 20} {
		s.awaitCompleteReads(fmt.Sprintf("size-%d", i), size)
	}
}

// awaitCompleteReads sends batches of reads until all responses of a batch are complete. A read without a complete
// response must fail with an error.
func (s *testFleet) awaitCompleteReads(name string, size int64) {
	s.t.Helper()
	const batch = 60
	s.await("complete reads through all nodes", func() error {
		complete := 0
		for i := range batch {
			node := s.Nodes[i%len(s.Nodes)]
			answer := s.caller.Fetch(s.ctx, node.Callers, Request{Path: readPath, Token: name, Size: size})
			if answer.Complete {
				complete++
				continue
			}
			// An error response of the upstream is forwarded with its status.
			if answer.Verdict == Ran && answer.Status == http.StatusOK && answer.Err == nil {
				s.t.Errorf("incomplete response without an error: %+v", answer)
			}
		}
		if complete < batch {
			return errors.Errorf("%d of %d reads are complete", complete, batch)
		}
		return nil
	})
}

// Guards against a target that still receives requests after its upstream was killed. Reads must move to the other
// target, and no read may get a wrong response until then.
func TestKilledUpstreamIsAvoided(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	s.Targets("reads")[0].Kill()
	s.awaitCompleteReads("after", maxReadBytes)
}

// Guards against a target that stays in use because its health probes succeed while its requests fail. Reads must move
// to the other targets.
func TestHealthProbesDoNotHideFailedRequests(t *testing.T) {
	s := start(t, layoutOf(3, 1))
	s.setFaults(s.Targets("reads")[:1], fakeupstream.Faults{FailWork: true})
	s.awaitCompleteReads("after", 10)
}
