package node

import "time"

const (
	// overdueFactor is how many times its usual time an attempt takes before its request is hedged without news from the
	// admitting node. That node reports a run that is overdue earlier; this is for paths that have gone silent.
	overdueFactor = 3
	// minOverdue keeps short delays from hedging a request.
	minOverdue = 150 * time.Millisecond
	// unknownShare is the part of the latency objective that an attempt of a route without a usual time is taken to need.
	unknownShare = 0.2
)

// overdueLimit returns how long an attempt may take before its request is hedged. usual is the usual time of the route's
// attempts from asking to the whole answer, 0 if it is not known.
func overdueLimit(usual, objective time.Duration) time.Duration {
	if usual == 0 {
		usual = time.Duration(unknownShare * float64(objective))
	}
	return max(overdueFactor*usual, minOverdue)
}
