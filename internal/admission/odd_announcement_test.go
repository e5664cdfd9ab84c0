package admission

import (
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against a single announcement with a sequence number or a start time that outranks all later ones and so excludes
// a target for good.
func TestTargetReturnsAfterAnnouncementThatOutranksIt(t *testing.T) {
	for name, change := range map[string]func(*Announcement){
		"sequence number":                    func(a *Announcement) { a.Sequence = 1 << 53 },
		"start time":                         func(a *Announcement) { a.StartTimeMS += time.Hour.Milliseconds() },
		"start time of another target there": func(a *Announcement) { a.Target, a.StartTimeMS = "other", a.StartTimeMS+1 },
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPoint(DefaultLimits(), 1)
			real := announcementAt(1)
			announce(t, p, 0, real)
			odd := real
			change(&odd)
			announce(t, p, 0, odd)
			for at := time.Second; at <= 2*DefaultLimits().MissingAfter; at += time.Second {
				real.Sequence++
				announce(t, p, at, real)
			}
			if !isPresent(p, 2*DefaultLimits().MissingAfter, real.Target) {
				t.Error("the target is excluded")
			}
		})
	}
}

// Guards against a late announcement that brings a draining target back after its announcements have stopped.
func TestSilentDrainingTargetStaysDraining(t *testing.T) {
	p := NewPoint(DefaultLimits(), 1)
	late, draining := announcementAt(1), announcementAt(2)
	draining.Phase = model.PhaseDraining
	announce(t, p, 0, draining)
	silent := 2 * DefaultLimits().MissingAfter
	for at := time.Second; at <= silent; at += time.Second {
		p.Expire(at)
	}
	if targets := p.Targets(silent); len(targets) != 1 || !targets[0].Missing {
		t.Fatalf("targets %+v, want one that is missing", targets)
	}
	announce(t, p, silent, late)
	if isPresent(p, silent, late.Target) {
		t.Error("the draining target is back")
	}
}

func announcementAt(sequence uint64) Announcement {
	return Announcement{
		Service: "s", Target: "t", Address: "10.0.0.9:80", Slots: 1, Phase: model.PhaseReady, Sequence: sequence, StartTimeMS: 1000,
	}
}

func announce(t *testing.T, p *Point, at time.Duration, a Announcement) {
	t.Helper()
	if err := p.Announce(at, a); err != nil {
		t.Fatal(err)
	}
	p.Expire(at)
}

// isPresent reports whether the target is ready and not missing.
func isPresent(p *Point, at time.Duration, id model.TargetID) bool {
	for _, target := range p.Targets(at) {
		if target.ID == id {
			return target.Phase == model.PhaseReady && !target.Missing
		}
	}
	return false
}
