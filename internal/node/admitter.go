package node

import (
	"context"
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/detect"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/peer"
	"github.com/sardinereach/sardinereach/internal/upstream"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// maxRetainedAnswerBytes is the largest response of a non-idempotent attempt that is retained until the accepting node
// acknowledges it. A larger response is only streamed.
const maxRetainedAnswerBytes = 1 << 20

// admitter admits and runs attempts at the local targets. It drives the admission point.
type admitter struct {
	clock       clock
	incarnation model.Incarnation
	upstreams   *upstream.Client
	// onAttemptEnd is called when an attempt that was sent to an upstream ends.
	onAttemptEnd func(observation)
	// countsAsFailure reports whether the end of an attempt counts as a failure of its target.
	countsAsFailure func(observation) bool
	// decideTrial decides whether an attempt may run if its target is in trial.
	decideTrial func(target model.TargetID, idempotent bool) trialDecision
	crashes     *crashTracker
	// checkAccess returns the refusal of an attempt whose accepting node has not decided on its access.
	checkAccess func(*peerv1.ForwardHead) *verdict.Error
	// onBreakerEvent is called when the circuit breaker of a target trips or closes.
	onBreakerEvent func(admission.Event)
	// onAnswerDropped is called with each attempt whose retained response was dropped before it was acknowledged.
	onAnswerDropped func(model.AttemptID)

	mu sync.Mutex
	// retryWindows limits the retries of requests; nil sets no limit.
	retryWindows *retryWindows
	point        *admission.Point
	waiting      map[model.AttemptID]chan slotOrRefusal
	running      map[model.AttemptID]*progressSink
	// parents are the requests that the local targets may be running.
	parents *parentRuns
	// runs ends when this node cuts off its runs.
	runs context.Context
	// cutOffRuns ends runs.
	cutOffRuns context.CancelFunc
	// runsCutOffAt is the time at which this node cuts off its runs because it stops, 0 if it does not stop.
	runsCutOffAt time.Duration
}

func newAdmitter(c clock, incarnation model.Incarnation, limits admission.Limits, upstreams *upstream.Client, crashes *crashTracker) *admitter {
	runs, cutOffRuns := context.WithCancel(context.Background())
	return &admitter{
		runs:           runs,
		cutOffRuns:     cutOffRuns,
		clock:          c,
		incarnation:    incarnation,
		upstreams:      upstreams,
		crashes:        crashes,
		onAttemptEnd:   func(observation) {},
		onBreakerEvent: func(admission.Event) {},

		countsAsFailure: func(observation) bool { return false },
		checkAccess:     func(*peerv1.ForwardHead) *verdict.Error { return nil },

		decideTrial:     func(model.TargetID, bool) trialDecision { return notInTrial },
		onAnswerDropped: func(model.AttemptID) {},
		point:           admission.NewPoint(limits, incarnation),
		waiting:         make(map[model.AttemptID]chan slotOrRefusal),
		running:         make(map[model.AttemptID]*progressSink),
		parents:         newParentRuns(),
	}
}

// announce processes the announcement of an upstream. It reports whether the upstream has deregistered; then the announcement
// changes nothing.
func (a *admitter) announce(n admission.Announcement) (deregistered bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	deregistered = a.point.IsDeregistered(&n)
	if err := a.point.Announce(now, n); err != nil {
		return false, err
	}
	a.handleEvents(a.point.Expire(now))
	return deregistered, nil
}

// departure returns the departure of the target, and false if it has none.
func (a *admitter) departure(target model.TargetID) (model.Departure, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.point.Departure(target)
}

// hold sets whether targets are held until the departures that an earlier process has acknowledged are restored.
func (a *admitter) hold(held bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.point.Hold(held)
}

// restoreDepartures adds the departures that an earlier process of this node has acknowledged.
func (a *admitter) restoreDepartures(departures []model.Departure) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	a.point.RestoreDepartures(now, departures)
	a.handleEvents(a.point.Expire(now))
}

// deregister removes an upstream that leaves without a further announcement. receivedMS is the time at which the upstream
// said so, in Unix milliseconds. It reports whether the upstream was known.
func (a *admitter) deregister(target model.TargetID, startTimeMS, receivedMS int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	known := a.point.Deregister(now, target, startTimeMS, receivedMS)
	a.handleEvents(a.point.Expire(now))
	return known
}

// expire processes the timeouts that have passed and returns the targets that have become missing.
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

// awaitedResponses returns the number of retained responses that accepting nodes may still ask for.
func (a *admitter) awaitedResponses() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.point.AwaitedResponses(a.clock.now())
}

// setOperatorDrains drains the given targets and ends the operator drain of all other local targets.
func (a *admitter) setOperatorDrains(drained map[model.TargetID]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	for _, t := range a.point.Targets(now) {
		a.point.SetOperatorDrain(t.ID, drained[t.ID])
	}
	a.handleEvents(a.point.Expire(now))
}

// admitUntil admits only attempts that are likely to end before the given time.
func (a *admitter) admitUntil(end time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.point.SetShutdownDeadline(end)
	a.handleEvents(a.point.Expire(a.clock.now()))
}

// stop refuses all new and queued attempts.
func (a *admitter) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.point.StopAll()
	a.handleEvents(a.point.Expire(a.clock.now()))
}

// cutOffRunsAt tells the accepting nodes of the running attempts, and of those that will run, that this node stops and cuts
// the runs off at the given time. The accepting nodes can then send requests that may be retried to other targets in time.
func (a *admitter) cutOffRunsAt(at time.Duration) {
	a.mu.Lock()
	a.runsCutOffAt = at
	sinks := make([]peer.Sink, 0, len(a.running))
	for _, p := range a.running {
		sinks = append(sinks, p.next)
	}
	a.mu.Unlock()
	for _, sink := range sinks {
		// A sink whose receiver reads slowly must not hold up the shutdown.
		go peer.ReportCutOff(sink, at-a.clock.now())
	}
}

// acknowledgeResponse drops the retained response of an attempt: the accepting node has received it.
func (a *admitter) acknowledgeResponse(attempt string) {
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

// handleEvents ends the wait of granted and refused attempts, calls the callbacks, and returns the targets that have
// become missing. a.mu is held.
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
			a.onAnswerDropped(e.Attempt)
		case admission.EventBreakerTripped, admission.EventBreakerClosed:
			a.onBreakerEvent(e)
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

// isRetryRunning reports whether an attempt of the request runs at a local target and is a retry or belongs to a nested
// request of a retry.
func (a *admitter) isRetryRunning(request string) bool {
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

// mayRun reports whether a local target may be running the request, and the deadline of its last attempt there.
func (a *admitter) mayRun(request string) (ends time.Duration, running bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.parents.mayRun(a.clock.now(), request)
}

// isRunning reports whether the attempt runs at a local target.
func (a *admitter) isRunning(attempt model.AttemptID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running[attempt] != nil
}

// inFlightAt returns the attempts that run at a target, as input of the failure detector.
func (a *admitter) inFlightAt(target model.TargetID) []detect.InFlight {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	coldStart := a.inColdStart(target)
	var out []detect.InFlight
	for _, p := range a.running {
		if p.target == target {
			out = append(out, p.inFlight(now, coldStart))
		}
	}
	return out
}

// inColdStart reports whether the target is in its slow-start ramp. a.mu is held.
func (a *admitter) inColdStart(id model.TargetID) bool {
	t, ok := a.point.Target(a.clock.now(), id)
	return ok && t.RampSlots < t.Slots
}
