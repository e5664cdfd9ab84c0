package admission

import (
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// AcceptorStops applies the notice that an incarnation of an accepting node stops and needs the responses to its attempts by
// the given time. Queued attempts that can no longer end in time are refused: they have not run.
func (p *Point) AcceptorStops(now time.Duration, node model.NodeID, incarnation model.Incarnation, answerBy time.Duration) {
	p.advance(now)
	for _, t := range p.sortedTargets() {
		for _, w := range slices.Clone(t.queue) {
			if isAttemptOf(w.request.Attempt, node, incarnation) {
				p.shorten(w, answerBy)
			}
		}
	}
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
