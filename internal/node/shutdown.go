package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/events"
)

// closeDelay is the time between the last response and the closing of the connections to other nodes. It lets the last
// frames of the last responses be sent.
const closeDelay = 100 * time.Millisecond

// maxCloseDelay is the longest time for which callers may take to close connections that this node has closed. The exit of
// the process resets those that are open, and the callers might lose their last responses.
const maxCloseDelay = 500 * time.Millisecond

// requestCutoffShare is the share of the grace period after which requests that are still open receive their final
// response. The rest of the grace period is for sending these responses before the process is killed.
const requestCutoffShare = 0.9

// finalDeadlineShare is the share of the grace period up to which an open request may go on if its own deadline comes before.
const finalDeadlineShare = 0.95

// endRunsShare is the share of the grace period after which the runs that are still in progress are cut off, so that their
// accepting nodes get the outcome before the connections end.
const endRunsShare = 0.96

// exitShare is the share of the grace period after which the process exits in any case, so that it is not killed.
const exitShare = 0.97

// idlePollInterval is the poll interval for the number of requests in flight.
const idlePollInterval = 20 * time.Millisecond

// shutdown stops the node gracefully. During the lame-duck phase it still admits requests to its targets if they are likely
// to end in time, while callers move to other nodes. After it, the node refuses new requests as accepting and as admitting
// node, finishes those in flight, and keeps responding to other nodes until they have acknowledged the retained responses.
func (n *Node) shutdown(s servers) {
	started := time.Now()
	n.log.Emit(events.NodeStopping, events.NodeField(n.self.ID), events.CountField(n.pendingWork().total()))
	grace := n.settings.Shutdown.Grace
	ctx, cancel := context.WithTimeout(context.Background(), shareOf(grace, exitShare))
	defer cancel()
	defer n.limitOpenWork(ctx, started, grace)()
	// Callers' connections close after their next response, so that a request already sent is still served.
	s.callers.SetKeepAlivesEnabled(false)
	n.acceptor.lameDuck.Store(true)
	// Keep the listener open during the lame-duck phase: closing it resets connections in the system's accept backlog.
	_ = sleep(ctx, n.settings.Shutdown.LameDuck)
	n.refuseRequests(s)
	n.awaitIdle(ctx, s.callersActive)
	_ = sleep(ctx, closeDelay)
	awaitClosed(ctx, s.callersListener)
	if pending := n.pendingWork(); pending.total() > 0 {
		n.log.Emit(events.GraceExceeded, append(pending.fields(), events.NodeField(n.self.ID), events.DurationField(grace))...)
	}
	// An error only means that the grace period has ended. The process exits either way.
	_ = s.operators.Shutdown(ctx)
	_ = s.upstreams.Shutdown(ctx)
	_ = s.callers.Close()
	for _, server := range s.auxiliary {
		_ = server.Close()
	}
	// Run waits for the calls of other nodes, which wait for their runs.
	n.admitter.cutOffRuns()
	n.log.Emit(events.NodeStopped, events.NodeField(n.self.ID), events.DurationField(time.Since(started)))
}

// limitOpenWork sets the times at which open requests and runs end, and tells the other nodes that depend on them. It returns a
// function that stops the timers.
func (n *Node) limitOpenWork(ctx context.Context, started time.Time, grace time.Duration) (stop func()) {
	cutoff, untilRunsEnd := shareOf(grace, requestCutoffShare), shareOf(grace, endRunsShare)
	cutoffTimer := time.AfterFunc(cutoff, func() { n.cutOffRequests(started) })
	endRunsTimer := time.AfterFunc(untilRunsEnd, n.admitter.cutOffRuns)
	n.acceptor.cutoff.announce(started.Add(cutoff), started.Add(shareOf(grace, finalDeadlineShare)))
	n.admitter.admitUntil(n.clock.now() + cutoff)
	n.acceptor.noticeStop(ctx)
	n.admitter.cutOffRunsAt(n.clock.now() + untilRunsEnd)
	return func() {
		cutoffTimer.Stop()
		endRunsTimer.Stop()
	}
}

// shareOf returns the share of the grace period.
func shareOf(grace time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(grace))
}

// refuseRequests ends the lame-duck phase. A request that is taken later may be cut at the end of the grace period, and
// another node can still serve it.
func (n *Node) refuseRequests(s servers) {
	n.acceptor.stopping.Store(true)
	n.admitter.stop()
	n.distributor.SetStopping()
	n.views.invalidate()
	s.callersListener.refuseConnections()
}

// errShutdownCutoff is the cause of the end of the requests that are still open at the end of the grace period.
var errShutdownCutoff = errors.New("node: the grace period has ended")

// cutOffRequests makes the requests that are still open end with their final response.
func (n *Node) cutOffRequests(started time.Time) {
	if open := n.acceptor.inFlight.Load(); open > 0 {
		n.log.Emit(events.RequestsCutOff, events.NodeField(n.self.ID), events.CountField(int(open)), events.DurationField(time.Since(started)))
	}
	n.acceptor.cutoff.pass()
}

// pendingWork returns what keeps a stopping node from its exit.
func (n *Node) pendingWork() pendingWork {
	return pendingWork{
		accepted:  int(n.acceptor.inFlight.Load()),
		admitted:  n.admitter.inFlight(),
		responses: n.admitter.awaitedResponses(),
		calls:     n.peerServer.Calls(),
	}
}

// awaitIdle waits until nothing is in flight and the last responses are sent to the callers.
func (n *Node) awaitIdle(ctx context.Context, callers *activeConnections) {
	for n.pendingWork().total() > 0 || callers.count() > 0 {
		if sleep(ctx, idlePollInterval) != nil {
			return
		}
	}
}

// awaitClosed waits until all connections of callers are closed for good, or maxCloseDelay has passed.
func awaitClosed(ctx context.Context, callers *limitListener) {
	ctx, cancel := context.WithTimeout(ctx, maxCloseDelay)
	defer cancel()
	for callers.open.Load() > 0 {
		if sleep(ctx, idlePollInterval) != nil {
			return
		}
	}
}
