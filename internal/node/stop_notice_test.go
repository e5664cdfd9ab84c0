package node

import (
	"context"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// Guards against passing on a request that arrives at a stopping node although it usually takes longer than the node has left.
func TestRequestThatOutlastsTheShutdownIsRefusedBeforeItRuns(t *testing.T) {
	for name, c := range map[string]struct {
		left time.Duration
		want string
		runs int32
	}{
		"too late": {usualDurationInTest / 2, "503 not-run: node_stopping\n", 0},
		"in time":  {10 * usualDurationInTest, "200 one", 1},
	} {
		t.Run(name, func(t *testing.T) {
			target := newBlockingTarget(t, "one")
			close(target.released)
			a, address := startHedging(t, target, nil)
			a.attemptDurations.add("/s", usualDurationInTest)
			announceCutoff(a, c.left)
			checkResponse(t, get(t, address), c.want)
			if runs := target.runs.Load(); runs != c.runs {
				t.Errorf("%d runs, want %d", runs, c.runs)
			}
		})
	}
}

// noticedPeer is a node that holds its attempts until they are cancelled and passes on the notices that it receives.
type noticedPeer struct {
	unresponsivePeer
	notices chan *peerv1.StoppingRequest
}

// Stopping implements peer.Handler.
func (p *noticedPeer) Stopping(req *peerv1.StoppingRequest) { p.notices <- req }

// Guards against a node with open attempts of a stopping node that is not told of the stop.
func TestNodesWithOpenAttemptsLearnOfTheStop(t *testing.T) {
	a, address := startHedging(t, newBlockingTarget(t, "own"), nil)
	other := &noticedPeer{notices: make(chan *peerv1.StoppingRequest, 1)}
	addRemoteTarget(t, a, servePeers(t, other))
	go func() { _, _ = roundTrip(t, address, "GET /s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n") }()
	for other.received.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	announceCutoff(a, time.Minute)
	a.noticeStop(t.Context())
	got := <-other.notices
	within := time.Duration(got.AnswerWithinMs) * time.Millisecond
	if got.Node != string(a.self.ID) || got.Incarnation != uint64(a.self.Incarnation) || within <= 0 || within > time.Minute {
		t.Errorf("notice %v", got)
	}
}

// Guards against an attempt that waits for a slot until the deadline of its caller although its accepting node stops before.
func TestAttemptOfStoppingNodeLeavesTheQueueInTime(t *testing.T) {
	a, _ := startHedging(t, newBlockingTarget(t, "one"), nil)
	head := func(serial uint64, withinMS int64) *peerv1.ForwardHead {
		return &peerv1.ForwardHead{
			Attempt: string(model.NewAttemptID("n2", 1, serial)), Service: "s", Target: "t1", Incarnation: 1, Idempotent: true,
			TimeoutMs: time.Minute.Milliseconds(), AnswerWithinMs: withinMS, AdmitBeforeMs: maxLocalAdmitAhead.Milliseconds(),
		}
	}
	first, second := head(1, 0), head(2, 50)
	if _, refusal := a.admitter.admit(t.Context(), first, newRunLimits(a.clock.now(), first)); refusal != nil {
		t.Fatal(refusal)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			a.admitter.expire()
			time.Sleep(10 * time.Millisecond)
		}
	}()
	trailer := a.admitter.run(ctx, second, peer.Bytes(nil), newDelivery(nil, 0))
	if ctx.Err() != nil || trailer.Reason != string(verdict.QueueDeadline) {
		t.Errorf("%v, want %s before the test's limit", trailer, verdict.QueueDeadline)
	}
}
