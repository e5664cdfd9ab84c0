package admission

import (
	"math"
	"time"
)

const (
	// baselineWeight is the weight of a new sample in the baseline latency of a route. It averages over about eight samples.
	baselineWeight = 1.0 / 8
	// baselineMaxStep bounds the effect of one sample, in natural logarithms, so that an outlier changes little.
	baselineMaxStep = 0.7
	// minBaselineRuns is the number of samples from which the baseline latency is used.
	minBaselineRuns = 4
	// maxRoutes is the maximum number of routes for which one target keeps a baseline latency.
	maxRoutes = 256
	// overdueFactor multiplies the expected run time of a request to give the limit after which it is overdue. With a
	// standard deviation of 0.5 in natural logarithms, one healthy run in thirty takes longer.
	overdueFactor = 2.5
	// severeOverdueFactor multiplies the limit for an overdue run. A single run that takes longer than this trips the
	// breaker of its target. One healthy run in three hundred takes so long.
	severeOverdueFactor = 1.6
	// coldFactor multiplies the expected run time at a target in its cold start.
	coldFactor = 2.0
	// defaultBaselineShare is the share of the latency objective that is used as the expected run time of a route without a
	// baseline latency.
	defaultBaselineShare = 0.3
	// minOverdue is the minimum limit for an overdue run. It prevents short scheduling delays from making a run overdue.
	minOverdue = 100 * time.Millisecond
)

// routeBaseline is a robust mean of the logarithm of a route's run time.
type routeBaseline struct {
	logMean float64
	count   int
}

func (u *routeBaseline) add(run time.Duration) {
	value := math.Log(float64(max(run, time.Microsecond)))
	u.count++
	if u.count == 1 {
		u.logMean = value
		return
	}
	step := max(-baselineMaxStep, min(baselineMaxStep, value-u.logMean))
	u.logMean += max(baselineWeight, 1/float64(u.count)) * step
}

func (u *routeBaseline) duration() time.Duration { return time.Duration(math.Exp(u.logMean)) }

// runTimes holds the baseline latency of each route at one target.
type runTimes map[string]*routeBaseline

func (r runTimes) add(route string, run time.Duration) {
	u := r[route]
	if u == nil {
		if len(r) >= maxRoutes {
			return
		}
		u = new(routeBaseline)
		r[route] = u
	}
	u.add(run)
}

// baseline returns the baseline latency of the route, 0 with fewer than minBaselineRuns samples.
func (r runTimes) baseline(route string) time.Duration {
	if u := r[route]; u != nil && u.count >= minBaselineRuns {
		return u.duration()
	}
	return 0
}

// quickShare is the share of the baseline latency up to which a run is quick: the upstream has hardly begun the work.
const quickShare = 1.0 / 8

// isQuick reports whether a run ended long before the work of the route can be done. A failure status after such a run is
// strong evidence of a target that fails, and a single one after the usual time is weak evidence.
func (r runTimes) isQuick(route string, run time.Duration) bool {
	return run < time.Duration(quickShare*float64(r.baseline(route)))
}

// expected returns the expected run time of the route, 0 without an estimate. The objective is the route's latency
// objective, 0 for none.
func (r runTimes) expected(route string, objective time.Duration, cold bool) time.Duration {
	run := r.baseline(route)
	if run == 0 {
		run = time.Duration(defaultBaselineShare * float64(objective))
	}
	if cold {
		run = time.Duration(coldFactor * float64(run))
	}
	return run
}

// overdueAfter returns how long a run with the expected run time may take before it is overdue, 0 if the expected run time
// is 0.
func overdueAfter(expected time.Duration) time.Duration {
	if expected == 0 {
		return 0
	}
	return max(time.Duration(overdueFactor*float64(expected)), minOverdue)
}
