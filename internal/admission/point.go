// Package admission implements the admission point of a node, through which every request to the node's local targets
// passes. It manages slots, short queues, drains, slow-start ramps, circuit breakers, the records of attempts, fences and
// retained responses. Its state depends only on its calls and their times: it reads no clock, starts no goroutine and does
// no I/O. A Point is not safe for concurrent use.
//
// Events of calls that do not return them are returned by the next Events or Expire.
//
// Times are measured on the node's monotonic clock since its start. Expire must be called at least once a second. A longer
// gap between calls is treated as a freeze of the process.
package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/departure"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// freezeDivisor divides MissingAfter. A longer gap between two calls is treated as a freeze of the process.
const freezeDivisor = 2

// Point admits attempts to the local targets of a node. An attempt ID is admitted at most once, and never after it was
// refused or fenced.
type Point struct {
	limits      Limits
	incarnation model.Incarnation
	targets     map[model.TargetID]*target
	// drained holds the targets that an operator drains, whether or not they have announced themselves.
	drained map[model.TargetID]bool
	// departures are those of targets that have deregistered or announced that they leave.
	departures *departure.Set
	// held means that ready targets are not used yet, see Hold.
	held     bool
	stopping bool
	// shutdownDeadline is the time by which the runs of a stopping node must end, 0 for none.
	shutdownDeadline time.Duration
	// stoppingAcceptors holds the accepting nodes that stop, with the time by which they need their responses.
	stoppingAcceptors map[acceptor]time.Duration
	records           map[model.AttemptID]*record
	// ended orders the records of ended, refused and fenced attempts by their expiry.
	ended         fifo[expiry]
	retained      fifo[expiry]
	retainedBytes int64
	watermarks    watermarks
	lastSweep     time.Duration
	inFlight      int
	// now is the latest time passed to a call; frozen is the part of it during which the process did not run.
	now    time.Duration
	frozen time.Duration
	// pending holds the events that the next Events or Expire returns.
	pending []Event
}

// NewPoint returns a point without targets for one incarnation of a node.
func NewPoint(limits Limits, incarnation model.Incarnation) *Point {
	return &Point{
		limits:      limits.withBounds(),
		incarnation: incarnation,
		targets:     make(map[model.TargetID]*target),
		drained:     make(map[model.TargetID]bool),
		departures:  departure.NewSet(),
		records:     make(map[model.AttemptID]*record),
		watermarks:  make(watermarks),

		stoppingAcceptors: make(map[acceptor]time.Duration),
	}
}

// InFlight returns the number of attempts that hold a slot.
func (p *Point) InFlight() int { return p.inFlight }

// InFlightOf returns the requests that hold a slot of the target, in order of their admission.
func (p *Point) InFlightOf(id model.TargetID) []Request {
	t := p.targets[id]
	if t == nil {
		return nil
	}
	requests := make([]Request, 0, len(t.running))
	for _, w := range t.running {
		requests = append(requests, w.request)
	}
	return requests
}

// advance sets the time to now. The time never goes back, because callers may read the clock before they get the lock.
func (p *Point) advance(now time.Duration) time.Duration {
	if now <= p.now {
		return p.now
	}
	if gap := now - p.now; gap > p.limits.MissingAfter/freezeDivisor {
		p.frozen += gap
	}
	p.now = now
	return now
}

// activeTime returns the time for which the process ran. Announcements, ramps, retained responses and run times are
// measured in it, so that a node that was frozen itself does not treat its upstreams as missing or overdue.
func (p *Point) activeTime() time.Duration { return p.now - p.frozen }

// targetRefusalReason returns "" or the reason for which the target accepts no requests.
func (p *Point) targetRefusalReason(t *target) verdict.Reason {
	switch {
	case p.stopping:
		return verdict.NodeStopping
	case t == nil:
		return verdict.TargetUnknown
	case p.held:
		return verdict.TargetStarting
	}
	if reason := t.phaseRefusalReason(); reason != "" {
		return reason
	}
	if p.drained[t.Target] {
		return verdict.TargetDraining
	}
	return ""
}

func (p *Point) load(t *target) Load {
	return Load{
		InFlight:          len(t.running),
		Slots:             t.rampSlots(p.activeTime(), p.limits.RampDuration),
		Queued:            len(t.queue),
		Phase:             p.phase(t),
		Reported:          t.Load,
		RequiredSuccesses: t.requiredSuccesses(),
		ExpectedWait:      p.expectedWait(t, len(t.queue)),
	}
}

// phase returns the announced phase, starting if targets are held, or draining if the node is stopping or an operator drains the
// target.
func (p *Point) phase(t *target) model.Phase {
	if t.Phase == model.PhaseReady && p.held {
		return model.PhaseStarting
	}
	if t.Phase <= model.PhaseReady && (p.stopping || p.drained[t.Target]) {
		return model.PhaseDraining
	}
	return t.Phase
}

// Events returns the events since the last call of Events or Expire, nil for none. Call it after every other call, because
// a granted attempt occupies its slot from the grant on. The call is cheap if there are no events.
func (p *Point) Events() []Event {
	events := p.pending
	p.pending = nil
	return events
}
