package tour

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// Plan is the fleet layout and the traffic of a scenario.
type Plan struct {
	Title  string
	Layout fleettest.Layout
	// Small has frequent reads, Bulk has reads of large bodies, Operations has non-idempotent requests.
	Small      Flow
	Bulk       Flow
	Operations Flow
}

// Flow is the traffic to one service.
type Flow struct {
	Service string
	Path    string
	// Label names the requests in the printed summary.
	Label string
	// Count is the number of requests, Size the size of each response body in bytes.
	Count int
	Size  int64
	// Work is the time that the upstream takes for each request.
	Work time.Duration
	// Workers is the number of concurrent callers.
	Workers int
}

// runTimeout aborts a scenario that hangs. A normal one takes well under a minute.
const runTimeout = 55 * time.Second
