package node

import (
	"sync/atomic"
	"time"
)

// callFailureWindow is the time after a failed request from this VM in which a failure of the local upstream is
// attributed to that request. The upstream sends its own calls through its node, and fails at once when one of them
// fails.
const callFailureWindow = 50 * time.Millisecond

// callFailures keeps the time of the last failure of a request that this node accepted.
type callFailures struct {
	// last is the time of the last failure on the node's clock, in nanoseconds; 0 for none.
	last atomic.Int64
}

func (c *callFailures) record(now time.Duration) { c.last.Store(int64(now)) }

// mayHaveCaused reports whether a failed call may have caused a failure of the upstream at this time.
func (c *callFailures) mayHaveCaused(now time.Duration) bool {
	last := time.Duration(c.last.Load())
	return last != 0 && now-last < callFailureWindow
}
