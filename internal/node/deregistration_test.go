package node

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/admission"
	"github.com/sardinereach/sardinereach/internal/dialect"
	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/upstream"
)

// keepsDepartures keeps all departures.
type keepsDepartures struct{}

func (keepsDepartures) KeepDeparture(context.Context, model.Departure) error { return nil }

// Guards against a departure that a stopping process acknowledges, so that the process after it never hears of it.
func TestStoppingNodeDoesNotAcknowledgeDeparture(t *testing.T) {
	log := events.New(discardLog{}, time.Now)
	n := &Node{clock: newClock(), log: log, acceptor: &acceptor{}, control: &control{wakeup: make(chan struct{}, 1)}, departures: keepsDepartures{}}
	n.admitter = newAdmitter(n.clock, 1, admission.DefaultLimits(), upstream.NewClient(1<<20, dialect.OwnUpstream()), newCrashTracker(n.clock, model.Node{ID: "n1"}, nil, log))
	t.Cleanup(n.admitter.upstreams.Close)
	for _, id := range []model.TargetID{"t1", "t2"} {
		_, err := n.admitter.announce(admission.Announcement{
			Service: "s", Target: id, Address: "127.0.0.1:" + string(id[1:]), Slots: 1, Phase: model.PhaseReady, StartTimeMS: 1,
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if err := n.handleDeregistration("t1", 0); err != nil {
		t.Errorf("a running node: %v", err)
	}
	n.acceptor.lameDuck.Store(true)
	if err := n.handleDeregistration("t2", 0); err == nil {
		t.Error("a stopping node has acknowledged a departure")
	}
	for _, target := range n.admitter.targets() {
		if target.Phase != model.PhaseLeaving {
			t.Errorf("%s is %v, want leaving", target.ID, target.Phase)
		}
	}
}

// refusesDepartures keeps no departures.
type refusesDepartures struct{}

func (refusesDepartures) KeepDeparture(context.Context, model.Departure) error {
	return errors.New("not kept")
}

// Guards against the acknowledgement of a draining heartbeat, or of a repeated one, while only this process knows of the departure.
func TestDepartureThatIsNotKeptIsNotAcknowledged(t *testing.T) {
	log := events.New(discardLog{}, time.Now)
	n := &Node{clock: newClock(), log: log, acceptor: &acceptor{}, control: &control{wakeup: make(chan struct{}, 1)}, departures: refusesDepartures{}}
	n.control.detection = newDetection(n)
	n.admitter = newAdmitter(n.clock, 1, admission.DefaultLimits(), upstream.NewClient(1<<20, dialect.OwnUpstream()), newCrashTracker(n.clock, model.Node{ID: "n1"}, nil, log))
	t.Cleanup(n.admitter.upstreams.Close)
	announce := func(phase model.Phase, sequence uint64) error {
		return n.handleAnnouncement(upstream.Announcement{
			Service: "s", Target: "t1", Address: "127.0.0.1:1", Slots: 1, Phase: phase.String(), Sequence: sequence, StartTimeMS: 1,
		})
	}
	if err := announce(model.PhaseReady, 1); err != nil {
		t.Errorf("a ready target: %v", err)
	}
	for _, sequence := range []uint64{2, 2, 3} {
		if err := announce(model.PhaseDraining, sequence); !errors.Is(err, upstream.ErrRepeat) {
			t.Errorf("draining, sequence %d: %v", sequence, err)
		}
	}
	if err := n.handleDeregistration("t1", 0); !errors.Is(err, upstream.ErrRepeat) {
		t.Errorf("leaving: %v", err)
	}
}
