package admission

import "time"

// lateShare is the part of its latency objective that a request waits at most if it cannot meet the objective any more.
const lateShare = 0.25

// shortShare is the part of the target's mean run time below which a run is short.
const shortShare = 0.6

// isShort reports whether the request's route usually takes much less time than the other work of the target.
func (t *target) isShort(r *Request) bool {
	usual := t.runTimes.usual(r.Route)
	return usual > 0 && usual < time.Duration(shortShare*float64(t.runTime))
}

// maxWait returns how long the request waits for a slot: as long as its answer can meet the latency objective. Requests
// that come too late for that wait for a part of the objective. Under lasting overload a longer queue would make every
// answer late and serve no one more. Without an objective only the deadline counts. A short request waits to its deadline: it
// takes little capacity, and mostly the run of another request waits for it and is lost with it.
func (t *target) maxWait(now time.Duration, r *Request) time.Duration {
	if r.Objective == 0 {
		return r.Deadline - now
	}
	if t.isShort(r) {
		return r.Deadline - now - t.runTimes.usual(r.Route)
	}
	late := time.Duration(lateShare * float64(r.Objective))
	return max(r.ObjectiveLeft-t.usualRun(r), late)
}

// waitFor returns the expected wait for a slot behind the given number of queued attempts: the work that is left before
// it, over the slots that do work. An overdue run keeps its slot until its deadline.
func (p *Point) waitFor(t *target, ahead int) time.Duration {
	slots := t.rampSlots(p.active(), p.limits.RampFor)
	var left time.Duration
	firstFree := time.Duration(-1)
	for _, w := range t.running {
		if w.overdue {
			slots--
			until := w.request.Deadline - p.now
			if firstFree < 0 || until < firstFree {
				firstFree = until
			}
			continue
		}
		left += max(t.usualRun(&w.request)-(p.active()-w.started), 0)
	}
	for _, w := range t.queue[:ahead] {
		left += t.usualRun(&w.request)
	}
	if slots <= 0 {
		return max(firstFree, 0) + left
	}
	return left / time.Duration(slots)
}
