package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// acceptor is one incarnation of an accepting node.
type acceptor struct {
	node        string
	incarnation uint64
}

// AcceptorStops applies the notice that an incarnation of an accepting node stops and needs the responses to its attempts by
// the given time. Queued attempts that can no longer end in time are refused: they have not run. The time also applies to attempts
// that were sent before the notice and arrive after it.
func (p *Point) AcceptorStops(now time.Duration, node model.NodeID, incarnation model.Incarnation, answerBy time.Duration) {
	p.advance(now)
	maps.DeleteFunc(p.stoppingAcceptors, func(_ acceptor, at time.Duration) bool { return at < now })
	p.stoppingAcceptors[acceptor{string(node), uint64(incarnation)}] = answerBy
	for _, t := range p.sortedTargets() {
		for _, w := range slices.Clone(t.queue) {
			if isAttemptOf(w.request.Attempt, node, incarnation) {
				p.shorten(w, answerBy)
			}
		}
	}
}

// answerBy returns the time by which the accepting node of the request needs the response, 0 if it does not stop.
func (p *Point) answerBy(r *Request) time.Duration {
	if r.AnswerBy != 0 || len(p.stoppingAcceptors) == 0 {
		return r.AnswerBy
	}
	node, incarnation, _, ok := splitAttempt(r.Attempt)
	if !ok {
		return 0
	}
	return p.stoppingAcceptors[acceptor{node, incarnation}]
}

// shorten limits the wait of a queued attempt whose accepting node stops.
func (p *Point) shorten(w *work, answerBy time.Duration) {
	w.request.AnswerBy = answerBy
	w.queueDeadline = min(w.queueDeadline, p.latestStart(w.target, &w.request))
	if w.queueDeadline < p.now {
		p.refuseQueued(w, verdict.AcceptorStopping)
	}
}

// isAttemptOf reports whether the attempt was made by the incarnation of the node.
func isAttemptOf(attempt model.AttemptID, node model.NodeID, incarnation model.Incarnation) bool {
	n, i, _, ok := splitAttempt(attempt)
	return ok && n == string(node) && i == uint64(incarnation)
}
