package node

import (
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
)

// runLimits are the times on the node's clock by which an attempt has to end.
type runLimits struct {
	// deadline is that of the caller.
	deadline time.Duration
	// answerBy is the time by which the accepting node needs the response because it stops, 0 if it does not stop.
	answerBy time.Duration
}

// newRunLimits returns the limits of an attempt that has arrived now.
func newRunLimits(now time.Duration, head *peerv1.ForwardHead) runLimits {
	limits := runLimits{deadline: now + time.Duration(head.TimeoutMs)*time.Millisecond}
	if head.AnswerWithinMs > 0 {
		limits.answerBy = now + time.Duration(head.AnswerWithinMs)*time.Millisecond
	}
	return limits
}
