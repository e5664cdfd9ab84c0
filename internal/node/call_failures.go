package node

import (
	"sync/atomic"
	"time"
)

// callFailureWindow is the time after a failed answer to a request from this VM in which a failure of the upstream beside
// the node is put down to it. The upstream sends its own calls through its node, and fails at once when one fails.
const callFailureWindow = 50 * time.Millisecond

// callFailures knows when a request that this node accepted failed last.
type callFailures struct {
	// last is the time of the last failure on the node's clock, in nanoseconds; 0 for none.
	last atomic.Int64
}

func (c *callFailures) note(now time.Duration) { c.last.Store(int64(now)) }

// explain reports whether a failure of the upstream at this time may come from a failed call.
func (c *callFailures) explain(now time.Duration) bool {
	last := time.Duration(c.last.Load())
	return last != 0 && now-last < callFailureWindow
}
