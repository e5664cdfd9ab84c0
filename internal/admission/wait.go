package admission

import "time"

// missedObjectiveShare is the share of its latency objective that a request may wait if it can no longer meet the objective.
const missedObjectiveShare = 0.25

// shortRunShare is the share of the target's mean run time below which a run counts as short.
const shortRunShare = 0.6

// isShort reports whether the baseline latency of the request's route is much lower than the mean run time of the target.
func (t *target) isShort(r *Request) bool {
	baseline := t.runTimes.baseline(r.Route)
	return baseline > 0 && baseline < time.Duration(shortRunShare*float64(t.meanRunTime))
}

// maxWait returns how long the request may wait for a slot: as long as its response can meet the latency objective.
// Requests that can no longer meet it may wait for a share of the objective. Under sustained overload a longer queue would
// make every response late without serving more requests. Without an objective, only the deadline limits the wait. A short
// request may wait until its deadline: it takes little capacity, and in most cases the run of another request waits for it
// and fails with it. So may one whose earlier run is cut off.
func (t *target) maxWait(now time.Duration, r *Request) time.Duration {
	if r.Objective == 0 {
		return r.Deadline - now
	}
	if t.isShort(r) || r.ReplacesCutRun {
		return r.Deadline - now - t.runTimes.baseline(r.Route)
	}
	lateWait := time.Duration(missedObjectiveShare * float64(r.Objective))
	return max(r.ObjectiveRemaining-t.baselineOrMean(r), lateWait)
}

// expectedWait returns the expected wait for a slot behind the given number of queued attempts. It is the remaining run
// time of the attempts ahead, divided by the number of slots without an overdue run. An overdue run is expected to occupy
// its slot until its deadline.
func (p *Point) expectedWait(t *target, ahead int) time.Duration {
	slots := t.rampSlots(p.activeTime(), p.limits.RampDuration)
	var remaining time.Duration
	firstFree := time.Duration(-1)
	for _, w := range t.running {
		if w.overdue {
			slots--
			untilDeadline := w.request.Deadline - p.now
			if firstFree < 0 || untilDeadline < firstFree {
				firstFree = untilDeadline
			}
			continue
		}
		remaining += max(t.baselineOrMean(&w.request)-(p.activeTime()-w.started), 0)
	}
	for _, w := range t.queue[:ahead] {
		remaining += t.baselineOrMean(&w.request)
	}
	if slots <= 0 {
		return max(firstFree, 0) + remaining
	}
	return remaining / time.Duration(slots)
}
