package node

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Guards against a process that is killed at the end of its grace period because a run that nobody cancels is in progress, and
// against accepting nodes that wait for the outcome of such a run.
func TestStoppingNodeCutsOffRunsThatAreNotCancelled(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		target := newBlockingTarget(t, "one")
		a, _ := startHedging(t, target, nil)
		head := &peerv1.ForwardHead{
			Attempt: string(model.NewAttemptID("n2", 1, 1)), Service: "s", Target: "t1", Incarnation: 1, Idempotent: idempotent, Method: "POST",
			Uri: "/s", TimeoutMs: time.Minute.Milliseconds(), AdmitBeforeMs: maxLocalAdmitAhead.Milliseconds(),
		}
		trailers := make(chan *peerv1.AnswerTrailer)
		go func() { trailers <- a.admitter.run(t.Context(), head, peer.Bytes(nil), newDelivery(nil, 0)) }()
		for target.runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		a.admitter.cutOffRuns()
		select {
		case trailer := <-trailers:
			if verdict.Verdict(trailer.Verdict) != verdict.MayHaveRun || trailer.Reason != string(verdict.NodeLost) {
				t.Errorf("%s: %v, want may-have-run, %s", name, trailer, verdict.NodeLost)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%s: the run goes on", name)
		}
		close(target.released)
	}
}
