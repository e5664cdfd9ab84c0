package node

import (
	"sync/atomic"
	"time"

	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/routing"
)

// earlierRuns bounds how long local targets may go on with the requests that an earlier process of the node has sent: the longest
// timeout of the routes that this process knows or has known, and no less than that of a route that sets none. The zero value
// knows no routes.
type earlierRuns struct {
	longestTimeout atomic.Int64
}

// observe adds the routes of a configuration. Only one goroutine at a time may call it; it may run beside mayGoOn.
func (e *earlierRuns) observe(table *routing.Table) {
	e.longestTimeout.Store(max(e.longestTimeout.Load(), int64(table.LongestTimeout())))
}

// mayGoOn reports whether such a request may still run at the given time after the start of the node.
func (e *earlierRuns) mayGoOn(now time.Duration) bool {
	return now < max(time.Duration(e.longestTimeout.Load()), declaration.DefaultTimeoutMS*time.Millisecond)
}
