package node

import (
	"sync"
	"time"
)

const (
	// overdueFactor is how many times its usual time an attempt takes before its request is hedged without news from the
	// admitting node. That node reports a run that is overdue earlier; this is for paths that have gone silent.
	overdueFactor = 3
	// minOverdue keeps short delays from hedging a request.
	minOverdue = 150 * time.Millisecond
	// unknownShare is the part of the latency objective that an attempt of a route without a usual time is taken to need.
	unknownShare = 0.2
)

// usualTimes keeps the usual time of the answered attempts of each route, from asking to the whole answer.
type usualTimes struct {
	mu     sync.Mutex
	routes map[string]time.Duration
}

func newUsualTimes() *usualTimes { return &usualTimes{routes: make(map[string]time.Duration)} }

// add takes in the time of an attempt.
func (u *usualTimes) add(route string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	old, known := u.routes[route]
	if known || len(u.routes) < maxSizedRoutes {
		u.routes[route] = smooth(old, took)
	}
}

// overdueAfter returns how long an attempt of the route may take before its request is hedged.
func (u *usualTimes) overdueAfter(route string, objective time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	usual, known := u.routes[route]
	if !known {
		usual = time.Duration(unknownShare * float64(objective))
	}
	return max(overdueFactor*usual, minOverdue)
}
