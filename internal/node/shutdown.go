package node

import (
	"context"
	"time"

	"github.com/sardinereach/sardinereach/internal/events"
)

// lingerTime lets the last frames of the last answers leave before the connections to other nodes are closed.
const lingerTime = 100 * time.Millisecond

// answerShare is the part of the grace after which requests that are still open get their final answer. The rest of the
// grace lets the answers leave before the process is killed.
const answerShare = 0.9

// exitShare is the part of the grace after which the process ends in any case, before it is killed.
const exitShare = 0.97

// shutdownPoll is the time between two looks at the requests in flight.
const shutdownPoll = 20 * time.Millisecond

// shutdown ends the node's work without cutting off a request. Until callers have left, its targets still get what is likely
// to end in time. Then it takes no new work in either role, finishes what is in flight, and keeps answering other nodes'
// questions until their answers are collected.
func (n *Node) shutdown(s servers) {
	started := time.Now()
	n.log.Emit(events.NodeStopping, events.NodeField(n.self.ID), events.CountField(n.busy()))
	grace := n.settings.Shutdown.Grace
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(exitShare*float64(grace)))
	defer cancel()
	answersBy := time.Duration(answerShare * float64(grace))
	finalAnswers := time.AfterFunc(answersBy, n.endRequests)
	defer finalAnswers.Stop()
	n.admitter.admitUntil(n.clock.now() + answersBy)
	// Connections of callers are closed after their next answer, so that a request that is on its way is still served.
	s.callers.SetKeepAlivesEnabled(false)
	n.acceptor.lameDuck.Store(true)
	// A connection that waits in the system's backlog when the listener closes would be reset.
	_ = sleep(ctx, n.settings.Shutdown.LameDuck)
	n.admitter.stop()
	n.distributor.SetStopping()
	n.views.invalidate()
	n.admitter.reportRunningAsOverdue()
	callers := make(chan error, 1)
	go func() { callers <- s.callers.Shutdown(ctx) }()
	n.awaitIdle(ctx, callers)
	_ = sleep(ctx, lingerTime)
	if left := n.busy(); left > 0 {
		n.log.Emit(events.GraceExceeded, events.NodeField(n.self.ID), events.CountField(left), events.DurationField(n.settings.Shutdown.Grace))
	}
	// Errors only say that the grace is over; the process exits either way.
	_ = s.operators.Shutdown(ctx)
	_ = s.upstreams.Shutdown(ctx)
	_ = s.callers.Close()
	for _, server := range s.plain {
		_ = server.Close()
	}
	n.log.Emit(events.NodeStopped, events.NodeField(n.self.ID), events.DurationField(time.Since(started)))
}

// busy returns the number of requests in flight in both roles and of answers that are not collected yet.
func (n *Node) busy() int {
	return int(n.acceptor.inFlight.Load()) + n.admitter.inFlight() + n.admitter.retainedIndicator() + n.peerServer.Calls()
}

// awaitIdle waits until the callers' server has shut down and nothing is in flight.
func (n *Node) awaitIdle(ctx context.Context, callers <-chan error) {
	callersDone := false
	for {
		select {
		case <-callers:
			callersDone = true
			n.acceptor.stopping.Store(true)
		case <-ctx.Done():
			return
		case <-time.After(shutdownPoll):
		}
		if callersDone && n.busy() == 0 {
			return
		}
	}
}
