// Package admission is the single admission point of the targets beside a node: slots, a short queue, drain, cold-start
// ramp, the records of attempts, fences and held answers. It is a function of its calls and their times: it reads no
// clock, starts no goroutine and does no I/O. A Point is not safe for concurrent use.
//
// Calls that return no events leave them to the next Events or Expire.
//
// Times are on the node's own monotonic clock since its start. Expire is called at least once a second; a longer
// silence means that the process was frozen.
package admission

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/verdict"
)

// freezeShare divides MissingAfter: a longer gap between two calls is taken for a frozen process.
const freezeShare = 2

// Point admits attempts to the targets beside a node. An attempt ID is admitted at most once; a refused or fenced one
// never.
type Point struct {
	limits      Limits
	incarnation model.Incarnation
	targets     map[model.TargetID]*target
	// drained holds the targets that an operator drains, announced or not.
	drained  map[model.TargetID]bool
	departed map[model.TargetID]departure
	stopping bool
	// stopBy is the time by which the runs of a node that is to stop have to end, 0 for none.
	stopBy  time.Duration
	records map[model.AttemptID]*record
	// ended orders the records of ended, refused and fenced attempts by their expiry.
	ended      fifo[expiry]
	held       fifo[expiry]
	heldBytes  int64
	watermarks watermarks
	swept      time.Duration
	inFlight   int
	// now is the latest time seen; frozen is the part of it during which the process did not run.
	now    time.Duration
	frozen time.Duration
	// pending holds the events of calls that return none.
	pending []Event
}

// NewPoint returns a point without targets for one incarnation of a node.
func NewPoint(limits Limits, incarnation model.Incarnation) *Point {
	return &Point{
		limits:      limits.withBounds(),
		incarnation: incarnation,
		targets:     make(map[model.TargetID]*target),
		drained:     make(map[model.TargetID]bool),
		departed:    make(map[model.TargetID]departure),
		records:     make(map[model.AttemptID]*record),
		watermarks:  make(watermarks),
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

// advance moves the point to now. Time never goes back: callers may read the clock before they get the lock.
func (p *Point) advance(now time.Duration) time.Duration {
	if now <= p.now {
		return p.now
	}
	if gap := now - p.now; gap > p.limits.MissingAfter/freezeShare {
		p.frozen += gap
	}
	p.now = now
	return now
}

// active returns the time for which the process ran. Announcements, ramps, held answers and run times count in it, so
// that a frozen process does not take its own silence for that of its upstreams.
func (p *Point) active() time.Duration { return p.now - p.frozen }

// reasonAgainst returns "" or the reason for which the target gets no new work.
func (p *Point) reasonAgainst(t *target) verdict.Reason {
	switch {
	case p.stopping:
		return verdict.NodeStopping
	case t == nil:
		return verdict.TargetUnknown
	}
	if reason := t.takesWork(); reason != "" {
		return reason
	}
	if p.drained[t.Target] {
		return verdict.TargetDraining
	}
	return ""
}

func (p *Point) load(t *target) Load {
	return Load{
		InFlight: len(t.running),
		Slots:    t.rampSlots(p.active(), p.limits.RampFor),
		Queued:   len(t.queue),
		Phase:    p.phase(t),
		Reported: t.Load,
		Doubt:    t.doubt(),
		Wait:     p.waitFor(t, len(t.queue)),
	}
}

// phase returns the announced phase, or draining if the node or an operator lets no work in.
func (p *Point) phase(t *target) model.Phase {
	if t.Phase <= model.PhaseReady && (p.stopping || p.drained[t.Target]) {
		return model.PhaseDraining
	}
	return t.Phase
}

// Events returns what has happened since the last call of Events or Expire, nil for nothing. It costs nothing then, so it
// can follow every other call: a granted attempt holds its slot from the grant on.
func (p *Point) Events() []Event {
	events := p.pending
	p.pending = nil
	return events
}
