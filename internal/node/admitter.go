package node

import (
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/detect"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/upstream"
)

// maxHeldAnswerBytes is the largest answer of a non-idempotent attempt that is held for collection. A larger one is
// passed on while it arrives.
const maxHeldAnswerBytes = 1 << 20

// admitter runs attempts at the targets beside this node. It drives the admission point.
type admitter struct {
	clock       clock
	incarnation model.Incarnation
	upstreams   *upstream.Client
	// observe is told the end of each attempt that was admitted.
	observe func(observation)
	// countsAgainst reports whether the end of an attempt counts against its target.
	countsAgainst func(observation) bool
	// mayTry rules on attempts at targets on trial.
	mayTry  func(target model.TargetID, idempotent bool) trialRuling
	crashes *crashes
	// judged is told the changes in the judgement of targets.
	judged func(admission.Event)
	// dropped is told the attempts whose answer was dropped before it was collected.
	dropped func(model.AttemptID)

	mu sync.Mutex
	// repeats bounds the repeats of requests; nil sets no bound.
	repeats *retryWindows
	point   *admission.Point
	waiting map[model.AttemptID]chan slotOrRefusal
	running map[model.AttemptID]*progressSink
}

func newAdmitter(c clock, incarnation model.Incarnation, limits admission.Limits, upstreams *upstream.Client, crashes *crashes) *admitter {
	return &admitter{
		clock:       c,
		incarnation: incarnation,
		upstreams:   upstreams,
		crashes:     crashes,
		observe:     func(observation) {},
		judged:      func(admission.Event) {},

		countsAgainst: func(observation) bool { return false },

		mayTry:  func(model.TargetID, bool) trialRuling { return notOnTrial },
		dropped: func(model.AttemptID) {},
		point:   admission.NewPoint(limits, incarnation),
		waiting: make(map[model.AttemptID]chan slotOrRefusal),
		running: make(map[model.AttemptID]*progressSink),
	}
}

// announce takes in what an upstream says about itself.
func (a *admitter) announce(n admission.Announcement) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	if err := a.point.Announce(now, n); err != nil {
		return err
	}
	a.handleEvents(a.point.Expire(now))
	return nil
}

// leave takes in that an upstream leaves without a further announcement.
func (a *admitter) leave(target model.TargetID, born int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	a.point.Deregister(now, target, born)
	a.handleEvents(a.point.Expire(now))
}

// expire applies the passing of time and returns the targets that have gone missing.
func (a *admitter) expire() []model.TargetID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.handleEvents(a.point.Expire(a.clock.now()))
}

func (a *admitter) targets() []model.Target {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.point.Targets(a.clock.now())
}

func (a *admitter) inFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.point.InFlight()
}

// held returns 1 if answers wait for collection, 0 otherwise.
func (a *admitter) held() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.point.RetainedBytes() > 0 {
		return 1
	}
	return 0
}

// setOperatorDrains drains exactly the given targets among those beside this node.
func (a *admitter) setOperatorDrains(drained map[model.TargetID]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	for _, t := range a.point.Targets(now) {
		a.point.SetOperatorDrain(t.ID, drained[t.ID])
	}
	a.handleEvents(a.point.Expire(now))
}

// stopBy lets only those attempts in from now on that are likely to end before the time.
func (a *admitter) stopBy(end time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.point.SetShutdownDeadline(end)
	a.handleEvents(a.point.Expire(a.clock.now()))
}

// stop refuses all new and queued work.
func (a *admitter) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.point.StopAll()
	a.handleEvents(a.point.Expire(a.clock.now()))
}

// reportRunning tells the accepting nodes that their attempts here may not end in time, so that those that can be repeated
// are offered to other targets before this node is gone.
func (a *admitter) reportRunning() {
	a.mu.Lock()
	sinks := make([]peer.Sink, 0, len(a.running))
	for _, p := range a.running {
		sinks = append(sinks, p.next)
	}
	a.mu.Unlock()
	for _, sink := range sinks {
		peer.ReportOverdue(sink)
	}
}

func (a *admitter) collected(attempt string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.point.AcknowledgeResponse(model.AttemptID(attempt))
}

func (a *admitter) lookup(req *peerv1.LookupRequest) admission.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	status := a.point.Lookup(now, model.AttemptID(req.Attempt), model.Incarnation(req.Incarnation), req.Fence)
	a.handleEvents(a.point.Expire(now))
	return status
}

// handleEvents wakes queued attempts. a.mu is held.
func (a *admitter) handleEvents(events []admission.Event) (missing []model.TargetID) {
	for _, e := range events {
		switch e.Kind {
		case admission.EventGranted:
			a.wake(e.Grant.Attempt, slotOrRefusal{address: e.Grant.Address})
		case admission.EventRefused:
			a.wake(e.Attempt, slotOrRefusal{err: e.Err})
		case admission.EventMissing:
			missing = append(missing, e.Target)
		case admission.EventAnswerDropped:
			a.dropped(e.Attempt)
		case admission.EventBreakerTripped, admission.EventBreakerClosed:
			a.judged(e)
		}
	}
	return missing
}

func (a *admitter) handleGrants(grants []admission.Grant) {
	for _, g := range grants {
		a.wake(g.Attempt, slotOrRefusal{address: g.Address})
	}
}

// wake ends the wait of a queued attempt. a.mu is held.
func (a *admitter) wake(attempt model.AttemptID, t slotOrRefusal) {
	if ch, ok := a.waiting[attempt]; ok {
		delete(a.waiting, attempt)
		ch <- t
	}
}

// runsRepeat reports whether a repeat of the request runs at a target beside this node.
func (a *admitter) runsRepeat(request string) bool {
	if request == "" {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.running {
		if p.retriedRequestID == request {
			return true
		}
	}
	return false
}

// progress returns the attempts that run at a target, in the terms of the detector.
func (a *admitter) progress(target model.TargetID) []detect.InFlight {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	warming := a.isWarming(target)
	var out []detect.InFlight
	for _, p := range a.running {
		if p.target == target {
			out = append(out, p.inFlight(now, warming))
		}
	}
	return out
}

// isWarming reports whether the target is in its cold-start ramp. a.mu is held.
func (a *admitter) isWarming(id model.TargetID) bool {
	t, ok := a.point.Target(a.clock.now(), id)
	return ok && t.RampSlots < t.Slots
}
