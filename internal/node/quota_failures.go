package node

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// quotaFailures records which distributors did not answer or take parts lately.
type quotaFailures struct {
	// leftOutUntil are the times until which nodes are left out.
	leftOutUntil map[model.NodeID]time.Duration
	// inARow are the calls in a row that a node did not answer.
	inARow map[model.NodeID]int
}

func newQuotaFailures() quotaFailures {
	return quotaFailures{leftOutUntil: make(map[model.NodeID]time.Duration), inARow: make(map[model.NodeID]int)}
}

// isLeftOut reports whether the node is not to be called now.
func (f quotaFailures) isLeftOut(now time.Duration, node model.NodeID) bool {
	return now < f.leftOutUntil[node]
}

// unanswered leaves out a node that did not answer maxQuotaFailures calls in a row. After the first one it is asked again: a single lost
// call should not take the parts away from a distributor that works.
func (f quotaFailures) unanswered(now time.Duration, node model.NodeID) {
	f.inARow[node]++
	if f.inARow[node] >= maxQuotaFailures {
		delete(f.inARow, node)
		f.leaveOut(now, node)
	}
}

// leaveOut leaves out the node for quotaFailureBackoff.
func (f quotaFailures) leaveOut(now time.Duration, node model.NodeID) {
	f.leftOutUntil[node] = now + quotaFailureBackoff
}

// answered forgets the failures of the node.
func (f quotaFailures) answered(node model.NodeID) {
	delete(f.leftOutUntil, node)
	delete(f.inARow, node)
}
