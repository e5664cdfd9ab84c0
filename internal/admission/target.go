package admission

import (
	"slices"
	"sort"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

const (
	// rampFirstSlots is the number of slots at the start of the slow-start ramp.
	rampFirstSlots = 1
	// meanRunTimeDivisor sets the weight of a new sample in the smoothed mean run time to 1/meanRunTimeDivisor.
	meanRunTimeDivisor = 8
)

// target is the state of one local target.
type target struct {
	Announcement
	// announcedAt and rampStart are the active times of the last announcement and of the start of the ramp.
	announcedAt time.Duration
	rampStart   time.Duration
	// coldUntil is the active time until which the target is slow after its start.
	coldUntil time.Duration
	missing   bool
	// removed targets stay until their attempts in flight have ended.
	removed bool
	running []*work
	// queue is sorted by Request.isBefore. Equal requests stay in order of arrival.
	queue []*work
	// meanRunTime is the smoothed active time from admission to the response, 0 without a sample.
	meanRunTime time.Duration
	successes   uint64
	failures    uint64
	breaker     breaker
	runTimes    runTimes
	// lastSuccess is the active time of the last successful response.
	lastSuccess time.Duration
}

// rampSlots returns the number of slots that the slow-start ramp allows at the active time.
func (t *target) rampSlots(activeTime, rampDuration time.Duration) int {
	elapsed := activeTime - t.rampStart
	if t.HasColdRemaining || elapsed >= rampDuration {
		return t.Slots
	}
	extra := float64(t.Slots-rampFirstSlots) * float64(elapsed) / float64(rampDuration)
	return rampFirstSlots + int(extra)
}

// phaseRefusalReason returns "" or the reason for which the target accepts no requests in its announced phase.
func (t *target) phaseRefusalReason() verdict.Reason {
	switch {
	case t.removed:
		return verdict.TargetUnknown
	case t.Phase == model.PhaseStarting:
		return verdict.TargetStarting
	case t.Phase != model.PhaseReady:
		return verdict.TargetDraining
	}
	return ""
}

// baselineOrMean returns the baseline latency of the request's route. Without one it returns the mean run time of the target.
func (t *target) baselineOrMean(r *Request) time.Duration {
	if baseline := t.runTimes.baseline(r.Route); baseline > 0 {
		return baseline
	}
	return t.meanRunTime
}

func (t *target) enqueue(w *work) {
	w.queued = true
	at := t.queuePosition(&w.request)
	t.queue = slices.Insert(t.queue, at, w)
}

// queuePosition returns the number of queued attempts that get a slot before the request. Those of equal urgency count.
func (t *target) queuePosition(r *Request) int {
	return sort.Search(len(t.queue), func(i int) bool { return r.isBefore(&t.queue[i].request) })
}

// probes returns the number of runs in flight that started since the breaker tripped.
func (t *target) probes() int {
	count := 0
	for _, w := range t.running {
		if w.started >= t.breaker.trippedAt {
			count++
		}
	}
	return count
}

// requiredSuccesses returns the number of successes that the breaker still needs to close, 0 if it is closed.
func (t *target) requiredSuccesses() int {
	if !t.breaker.halfOpen {
		return 0
	}
	return t.breaker.remainingSuccesses
}

func (t *target) dequeue(w *work) {
	w.queued = false
	t.queue = remove(t.queue, w)
}

func (t *target) start(w *work, activeTime time.Duration) {
	w.started = activeTime
	t.running = append(t.running, w)
}

func (t *target) stop(w *work) { t.running = remove(t.running, w) }

// recordRunTime adds the run time of a completed attempt to the mean.
func (t *target) recordRunTime(sample time.Duration) {
	if t.meanRunTime == 0 {
		t.meanRunTime = sample
		return
	}
	t.meanRunTime += (sample - t.meanRunTime) / meanRunTimeDivisor
}

func remove(list []*work, w *work) []*work {
	at := slices.Index(list, w)
	if at < 0 {
		return list
	}
	return slices.Delete(list, at, at+1)
}
