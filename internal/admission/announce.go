package admission

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Announce applies the announcement of an upstream. An invalid announcement returns an error and changes nothing. Events
// returns the queued attempts that are granted or refused as a result.
func (p *Point) Announce(now time.Duration, a Announcement) error {
	p.advance(now)
	if err := a.validate(); err != nil {
		return err
	}
	a.Load = clampLoad(a.Load)
	if p.isReplaced(&a) || p.IsDeregistered(&a) {
		return nil
	}
	p.removeReplaced(&a)
	t := p.targets[a.Target]
	if t != nil && a.isStale(&t.Announcement) && !t.isSilent() {
		return nil
	}
	previous := model.PhaseStarting
	if t != nil && t.StartTimeMS == a.StartTimeMS {
		previous = t.Phase
	}
	if t == nil {
		t = &target{Announcement: a, rampStart: p.activeTime(), runTimes: make(runTimes)}
		p.targets[a.Target] = t
	}
	if t.Service != a.Service {
		return errors.Errorf("announcement of %s: it is a target of service %s, not of %s", a.Target, t.Service, a.Service)
	}
	if isCold(t, &a) {
		t.rampStart = p.activeTime()
	}
	if t.StartTimeMS != a.StartTimeMS {
		t.breaker = breaker{}
	}
	p.recordDeparture(previous, &a)
	t.coldUntil = p.activeTime() + a.ColdRemaining
	t.Announcement = a
	t.announcedAt = p.activeTime()
	t.missing = false
	t.removed = false
	p.updateQueue(t)
	return nil
}

// isSilent reports whether announcements of the target have stopped although it was not leaving. Then an announcement counts
// even if it seems older than the last one: one odd announcement, or a clock that was set back, must not exclude the
// target for good.
func (t *target) isSilent() bool {
	return t.missing && !t.Phase.IsLeaving()
}

// isReplaced reports whether a target with a later start time announces the same address.
func (p *Point) isReplaced(a *Announcement) bool {
	for _, t := range p.targets {
		if !t.missing && t.Target != a.Target && t.Address == a.Address && t.StartTimeMS > a.StartTimeMS {
			return true
		}
	}
	return false
}

// removeReplaced removes targets with an earlier start time at the same address.
func (p *Point) removeReplaced(a *Announcement) {
	if a.StartTimeMS == 0 {
		return
	}
	for _, t := range p.sortedTargets() {
		if t.Target != a.Target && t.Address == a.Address && t.StartTimeMS < a.StartTimeMS {
			p.RemoveTarget(p.now, t.Target)
		}
	}
}

// isCold reports whether the announcement comes from a process that has not served requests yet.
func isCold(t *target, a *Announcement) bool {
	if t.removed || t.Address != a.Address || t.StartTimeMS != a.StartTimeMS {
		return true
	}
	if t.Phase == model.PhaseDraining {
		return a.Phase == model.PhaseStarting
	}
	return t.Phase != model.PhaseReady
}

// clampLoad limits a reported load to the range 0 to 1. NaN becomes 0.
func clampLoad(load float64) float64 {
	if math.IsNaN(load) {
		return 0
	}
	return min(max(load, 0), 1)
}

// RemoveTarget removes a target. Its queued attempts are refused. Attempts in flight run to their end.
func (p *Point) RemoveTarget(now time.Duration, id model.TargetID) {
	p.advance(now)
	t := p.targets[id]
	if t == nil {
		return
	}
	t.removed = true
	p.updateQueue(t)
	p.removeIfUnused(t)
}

// SetOperatorDrain sets whether an operator drains the target. A drain refuses the queued attempts; Events returns these
// refusals.
func (p *Point) SetOperatorDrain(id model.TargetID, drain bool) {
	if drain {
		p.drained[id] = true
	} else {
		delete(p.drained, id)
	}
	if t := p.targets[id]; t != nil {
		p.updateQueue(t)
	}
}

// SetShutdownDeadline restricts admission to requests that are likely to end before the given time. If a stopping node
// refused all requests instead, its targets would be idle for most of the grace period while the runs in flight end.
func (p *Point) SetShutdownDeadline(end time.Duration) {
	p.shutdownDeadline = end
	for _, t := range p.sortedTargets() {
		p.updateQueue(t)
	}
}

// StopAll permanently refuses all new and queued attempts. Attempts in flight run to their end.
func (p *Point) StopAll() {
	p.stopping = true
	for _, t := range p.sortedTargets() {
		p.updateQueue(t)
	}
}

// Targets returns the state of all targets in order of their IDs.
func (p *Point) Targets(now time.Duration) []model.Target {
	p.advance(now)
	targets := make([]model.Target, 0, len(p.targets))
	for _, t := range p.sortedTargets() {
		if !t.removed {
			targets = append(targets, p.describe(t))
		}
	}
	return targets
}

func (p *Point) describe(t *target) model.Target {
	return model.Target{
		ID:              t.Target,
		Service:         t.Service,
		Address:         t.Address,
		Slots:           t.Slots,
		RampSlots:       t.rampSlots(p.activeTime(), p.limits.RampDuration),
		Cold:            t.coldUntil > p.activeTime(),
		InFlight:        len(t.running),
		Queued:          len(t.queue),
		Phase:           p.phase(t),
		Missing:         t.missing,
		BreakerHalfOpen: t.breaker.halfOpen,
		Successes:       t.successes,
		Failures:        t.failures,
	}
}

// sortedTargets returns the targets in order of their IDs, so that the order of events does not depend on the map.
func (p *Point) sortedTargets() []*target {
	targets := make([]*target, 0, len(p.targets))
	for _, t := range p.targets {
		targets = append(targets, t)
	}
	slices.SortFunc(targets, func(a, b *target) int {
		return strings.Compare(string(a.Target), string(b.Target))
	})
	return targets
}

func (p *Point) removeIfUnused(t *target) {
	if t.removed && len(t.running) == 0 {
		delete(p.targets, t.Target)
	}
}
