package node

import (
	"context"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/events"
)

// answerTransferTime is the time that a response takes from the admitting node to the caller at a stopping node.
const answerTransferTime = 50 * time.Millisecond

// minAnswerWithin replaces a time that has passed: 0 would mean that the node does not stop.
const minAnswerWithin = time.Millisecond

// answerWithin returns the time within which the response to a request with the deadline has to arrive because this node stops,
// 0 if the node does not stop before the deadline.
func (a *acceptor) answerWithin(deadline time.Time) time.Duration {
	left, stopping := a.cutoff.left()
	if !stopping || !a.cutoff.applies(deadline) {
		return 0
	}
	return max(left-answerTransferTime, minAnswerWithin)
}

// outlastsShutdown reports whether this node stops before the request would usually end. Its caller can still be told that it has
// not run.
func (a *acceptor) outlastsShutdown(rq *request) bool {
	within := a.answerWithin(rq.deadline)
	return within > 0 && a.attemptDurations.of(rq.head.Route) > within
}

// noticeStop tells all nodes at which attempts of this node are in progress that this node stops. Attempts that start later
// carry the time that is left.
func (a *acceptor) noticeStop(ctx context.Context) {
	left, _ := a.cutoff.left()
	within := max(left-answerTransferTime, minAnswerWithin)
	a.admitter.acceptorStops(a.self.ID, a.self.Incarnation, within)
	req := &peerv1.StoppingRequest{Node: string(a.self.ID), Incarnation: uint64(a.self.Incarnation), AnswerWithinMs: within.Milliseconds()}
	for _, address := range a.openAttempts.addresses() {
		go func() {
			if err := a.peers.Stopping(ctx, address, req); err != nil {
				a.log.Emit(events.StopNoticeFailed, events.AddressField(address), events.CauseField(err))
			}
		}()
	}
}
