package admission

import (
	"slices"
	"sort"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

const (
	// rampFirstSlots is the number of slots of a target at the start of its ramp.
	rampFirstSlots = 1
	// runTimeWeight is the inverse weight of a new sample in the smoothed run time.
	runTimeWeight = 8
)

// target is one upstream beside the node.
type target struct {
	Announcement
	// seen and rampFrom are active times.
	seen     time.Duration
	rampFrom time.Duration
	// coldUntil is the active time until which the target is slow after its start.
	coldUntil time.Duration
	missing   bool
	// forgotten targets stay until their work in flight has ended.
	forgotten bool
	running   []*work
	// queue holds interactive work before bulk work and urgent ranks before others, each in order of arrival.
	queue []*work
	// runTime is the smoothed active time from admission to the answer, 0 without a sample.
	runTime   time.Duration
	successes uint64
	failures  uint64
	health    health
	runTimes  runTimes
}

// rampSlots returns the slots that the cold-start ramp gives at the active time.
func (t *target) rampSlots(active, rampFor time.Duration) int {
	elapsed := active - t.rampFrom
	if t.TellsCold || elapsed >= rampFor {
		return t.Slots
	}
	extra := float64(t.Slots-rampFirstSlots) * float64(elapsed) / float64(rampFor)
	return rampFirstSlots + int(extra)
}

// takesWork returns "" or the reason for which the announced phase lets no work in.
func (t *target) takesWork() verdict.Reason {
	switch {
	case t.forgotten:
		return verdict.TargetUnknown
	case t.Phase == model.PhaseStarting:
		return verdict.TargetStarting
	case t.Phase != model.PhaseReady:
		return verdict.TargetDraining
	}
	return ""
}

// usualRun returns the usual run time of the request's route, that of the target's other work if it is not known.
func (t *target) usualRun(r *Request) time.Duration {
	if usual := t.runTimes.usual(r.Route); usual > 0 {
		return usual
	}
	return t.runTime
}

func (t *target) enqueue(w *work) {
	w.queued = true
	at := t.ahead(&w.request)
	t.queue = slices.Insert(t.queue, at, w)
}

// ahead returns the number of queued attempts that get a slot before the request: all that are as urgent.
func (t *target) ahead(r *Request) int {
	return sort.Search(len(t.queue), func(i int) bool { return r.isBefore(&t.queue[i].request) })
}

// probes returns the number of runs that began since the target is doubtful.
func (t *target) probes() int {
	count := 0
	for _, w := range t.running {
		if w.started >= t.health.since {
			count++
		}
	}
	return count
}

// doubt returns the number of good answers that the target needs, 0 if it is not doubtful.
func (t *target) doubt() int {
	if !t.health.doubtful {
		return 0
	}
	return t.health.proofs
}

func (t *target) dequeue(w *work) {
	w.queued = false
	t.queue = remove(t.queue, w)
}

func (t *target) start(w *work, active time.Duration) {
	w.started = active
	t.running = append(t.running, w)
}

func (t *target) stop(w *work) { t.running = remove(t.running, w) }

// observe adds the run time of an answered attempt.
func (t *target) observe(sample time.Duration) {
	if t.runTime == 0 {
		t.runTime = sample
		return
	}
	t.runTime += (sample - t.runTime) / runTimeWeight
}

func remove(list []*work, w *work) []*work {
	at := slices.Index(list, w)
	if at < 0 {
		return list
	}
	return slices.Delete(list, at, at+1)
}
