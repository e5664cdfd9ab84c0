package admission

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Announce takes in what an upstream says about itself. It returns an error for an announcement that makes no sense,
// which changes nothing. Work that it lets in or refuses is returned by Events.
func (p *Point) Announce(now time.Duration, a Announcement) error {
	p.advance(now)
	if err := a.validate(); err != nil {
		return err
	}
	a.Load = clampLoad(a.Load)
	if p.isReplaced(&a) || p.hasLeft(&a) {
		return nil
	}
	p.forgetReplaced(&a)
	t := p.targets[a.Target]
	if t != nil && a.isLate(&t.Announcement) {
		return nil
	}
	if t == nil {
		t = &target{Announcement: a, rampFrom: p.active(), runTimes: make(runTimes)}
		p.targets[a.Target] = t
	}
	if t.Service != a.Service {
		return errors.Errorf("announcement of %s: it is a target of service %s, not of %s", a.Target, t.Service, a.Service)
	}
	if isCold(t, &a) {
		t.rampFrom = p.active()
	}
	if t.Born != a.Born {
		t.health = health{}
	}
	t.coldUntil = p.active() + a.ColdLeft
	t.Announcement = a
	t.seen = p.active()
	t.missing = false
	t.forgotten = false
	p.settle(t)
	return nil
}

// isReplaced reports whether another target that started later has announced itself at the same address.
func (p *Point) isReplaced(a *Announcement) bool {
	for _, t := range p.targets {
		if t.Target != a.Target && t.Address == a.Address && t.Born > a.Born {
			return true
		}
	}
	return false
}

// forgetReplaced forgets the targets that had the address before.
func (p *Point) forgetReplaced(a *Announcement) {
	if a.Born == 0 {
		return
	}
	for _, t := range p.sorted() {
		if t.Target != a.Target && t.Address == a.Address && t.Born < a.Born {
			p.Forget(p.now, t.Target)
		}
	}
}

// hasLeft reports whether the target said that it leaves after the start that the announcement is of. An announcement that
// was held up on its way must not bring the target back.
func (p *Point) hasLeft(a *Announcement) bool {
	d, ok := p.departed[a.Target]
	return ok && a.Born <= d.born
}

// Leave takes in that a target leaves without a further announcement. born is the time of its start, 0 if it is not
// told. A target that has started again since stays.
func (p *Point) Leave(now time.Duration, id model.TargetID, born int64) {
	p.advance(now)
	t := p.targets[id]
	if t != nil && born == 0 {
		born = t.Born
	}
	if born != 0 {
		p.departed[id] = departure{born: born, at: p.now}
	}
	if t == nil || born < t.Born {
		return
	}
	t.Phase = model.PhaseLeaving
	p.settle(t)
}

// isCold reports whether the announcement comes from a process that has not served yet.
func isCold(t *target, a *Announcement) bool {
	if t.forgotten || t.Address != a.Address || t.Born != a.Born {
		return true
	}
	if t.Phase == model.PhaseDraining {
		return a.Phase == model.PhaseStarting
	}
	return t.Phase != model.PhaseReady
}

// clampLoad brings a load that misreports its range into 0 to 1.
func clampLoad(load float64) float64 {
	if math.IsNaN(load) {
		return 0
	}
	return min(max(load, 0), 1)
}

// Forget removes a target. Its queued attempts are refused, its work in flight ends as usual.
func (p *Point) Forget(now time.Duration, id model.TargetID) {
	p.advance(now)
	t := p.targets[id]
	if t == nil {
		return
	}
	t.forgotten = true
	p.settle(t)
	p.removeIfUnused(t)
}

// SetOperatorDrain sets whether an operator drains the target. Queued attempts are refused, see Events.
func (p *Point) SetOperatorDrain(id model.TargetID, drain bool) {
	if drain {
		p.drained[id] = true
	} else {
		delete(p.drained, id)
	}
	if t := p.targets[id]; t != nil {
		p.settle(t)
	}
}

// StopBy lets only those requests in from now on that are likely to end before the time. A node that is to stop would otherwise
// leave its target idle for most of the grace, while the runs in flight end.
func (p *Point) StopBy(end time.Duration) {
	p.stopBy = end
	for _, t := range p.sorted() {
		p.settle(t)
	}
}

// StopAll refuses all new and queued work for good. Work in flight ends as usual.
func (p *Point) StopAll() {
	p.stopping = true
	for _, t := range p.sorted() {
		p.settle(t)
	}
}

// Targets returns the state of all targets in order of their IDs.
func (p *Point) Targets(now time.Duration) []model.Target {
	p.advance(now)
	targets := make([]model.Target, 0, len(p.targets))
	for _, t := range p.sorted() {
		if !t.forgotten {
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
		RampSlots:       t.rampSlots(p.active(), p.limits.RampFor),
		Cold:            t.coldUntil > p.active(),
		InFlight:        len(t.running),
		Queued:          len(t.queue),
		Phase:           p.phase(t),
		Missing:         t.missing,
		BreakerHalfOpen: t.health.doubtful,
		Successes:       t.successes,
		Failures:        t.failures,
	}
}

// sorted returns the targets in order of their IDs, so that the order of events does not depend on the map.
func (p *Point) sorted() []*target {
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
	if t.forgotten && len(t.running) == 0 {
		delete(p.targets, t.Target)
	}
}
