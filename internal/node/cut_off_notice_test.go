package node

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// stuckSink is a sink whose receiver does not read.
type stuckSink struct {
	*delivery
	released chan struct{}
	notified chan time.Duration
}

// WillBeCutOff implements peer.CutOffSink.
func (s *stuckSink) WillBeCutOff(in time.Duration) {
	<-s.released
	s.notified <- in
}

// Guards against a shutdown that waits for a receiver which does not read.
func TestNoticeToSlowReceiverDoesNotHoldUpTheShutdown(t *testing.T) {
	target := newBlockingTarget(t, "one")
	a, _ := startHedging(t, target, nil)
	sink := &stuckSink{delivery: newDelivery(nil, 0), released: make(chan struct{}), notified: make(chan time.Duration, 1)}
	a.admitter.track(&peerv1.ForwardHead{Attempt: "n2.1.1", Target: "t1"}, sink)
	a.admitter.cutOffRunsAt(a.clock.now() + time.Minute)
	close(sink.released)
	if in := <-sink.notified; in <= 0 || in > time.Minute {
		t.Errorf("cut off in %s, want up to a minute", in)
	}
}

// Guards against an attempt that is admitted during the shutdown and whose accepting node does not learn of the cut.
func TestRunAdmittedDuringTheShutdownIsNoticed(t *testing.T) {
	target := newBlockingTarget(t, "one")
	a, _ := startHedging(t, target, nil)
	a.admitter.cutOffRunsAt(a.clock.now() + time.Minute)
	sink := &stuckSink{delivery: newDelivery(nil, 0), released: make(chan struct{}), notified: make(chan time.Duration, 1)}
	close(sink.released)
	a.admitter.track(&peerv1.ForwardHead{Attempt: "n2.1.1", Target: "t1"}, sink)
	if in := <-sink.notified; in <= 0 || in > time.Minute {
		t.Errorf("cut off in %s, want up to a minute", in)
	}
}
