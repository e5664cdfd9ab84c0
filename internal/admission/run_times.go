package admission

import (
	"math"
	"time"
)

const (
	// usualWeight is the weight of one answer in the usual run time of a route: about the last eight count.
	usualWeight = 1.0 / 8
	// usualStep bounds the effect of one answer, in natural logarithms, so that an outlier changes little.
	usualStep = 0.7
	// minUsualRuns is the number of answers from which the usual run time is relied on.
	minUsualRuns = 4
	// maxRoutes bounds the routes whose run times one target keeps.
	maxRoutes = 256
	// overdueFactor is how many times its usual run time a request takes before it is overdue. With a spread of 0.5 in
	// natural logarithms one healthy run in thirty takes longer.
	overdueFactor = 2.5
	// silentFactor is how many times the limit for an overdue run makes a single run enough to doubt its target. One healthy run
	// in three hundred takes so long.
	silentFactor = 1.6
	// coldFactor is how much longer a run may take at a target that has just started.
	coldFactor = 2.0
	// objectiveShare is the part of the latency objective that a run of a route without a usual run time is taken to need.
	objectiveShare = 0.3
	// minOverdue keeps short scheduling delays from making a run overdue.
	minOverdue = 100 * time.Millisecond
)

// usualRun is a robust mean of the logarithm of a route's run time.
type usualRun struct {
	log   float64
	count int
}

func (u *usualRun) add(run time.Duration) {
	value := math.Log(float64(max(run, time.Microsecond)))
	u.count++
	if u.count == 1 {
		u.log = value
		return
	}
	step := max(-usualStep, min(usualStep, value-u.log))
	u.log += max(usualWeight, 1/float64(u.count)) * step
}

func (u *usualRun) duration() time.Duration { return time.Duration(math.Exp(u.log)) }

// runTimes holds the usual run times of the routes at one target.
type runTimes map[string]*usualRun

func (r runTimes) add(route string, run time.Duration) {
	u := r[route]
	if u == nil {
		if len(r) >= maxRoutes {
			return
		}
		u = new(usualRun)
		r[route] = u
	}
	u.add(run)
}

// usual returns the usual run time of the route, 0 if it is not known well enough.
func (r runTimes) usual(route string) time.Duration {
	if u := r[route]; u != nil && u.count >= minUsualRuns {
		return u.duration()
	}
	return 0
}

// expected returns how long a run of the route is taken to need, 0 if that cannot be told. The objective is the route's
// latency objective, 0 for none.
func (r runTimes) expected(route string, objective time.Duration, cold bool) time.Duration {
	run := r.usual(route)
	if run == 0 {
		run = time.Duration(objectiveShare * float64(objective))
	}
	if cold {
		run = time.Duration(coldFactor * float64(run))
	}
	return run
}

// overdueAfter returns how long a run with the expected time may take before it is overdue, 0 if that cannot be told.
func overdueAfter(expected time.Duration) time.Duration {
	if expected == 0 {
		return 0
	}
	return max(time.Duration(overdueFactor*float64(expected)), minOverdue)
}
