package tour

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// Plan is the layout and the traffic of a tour.
type Plan struct {
	Title  string
	Layout fleettest.Layout
	// Small is the service of frequent reads, Bulk that of large bodies, Operations that of non-idempotent requests.
	Small      Flow
	Bulk       Flow
	Operations Flow
}

// Flow is the traffic to one service.
type Flow struct {
	Service string
	Path    string
	// What names the requests in the account.
	What string
	// Count is the number of requests, Size the bytes of each answer.
	Count int
	Size  int64
	// Work is how long the upstream takes for each request.
	Work time.Duration
	// Workers is the number of callers.
	Workers int
}

// limit ends a tour that hangs. A tour takes well under a minute.
const limit = 55 * time.Second
