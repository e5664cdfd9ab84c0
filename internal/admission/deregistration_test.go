package admission

import (
	"testing"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Guards against a heartbeat that arrives after its sender has left a node that restarted meanwhile, and registers it.
func TestLateHeartbeatDoesNotRegisterTargetThatLeftRestartedNode(t *testing.T) {
	const startTimeMS, leftMS, laterMS = 10, 20, 30
	for name, c := range map[string]struct {
		leaveStartMS, heartbeatStartMS int64
		want                           bool
	}{
		"late":                     {0, startTimeMS, false},
		"late, started just then":  {0, leftMS, false},
		"late, leave with a start": {startTimeMS, startTimeMS, false},
		"started again":            {0, laterMS, true},
		"started again after a leave with a start": {startTimeMS, laterMS, true},
		"start time never sent":                    {0, 0, true},
	} {
		p := NewPoint(DefaultLimits(), testIncarnation)
		if p.Deregister(0, "a", c.leaveStartMS, leftMS) {
			t.Errorf("%s: the target was known", name)
		}
		if !p.Deregister(0, "a", c.leaveStartMS, leftMS) {
			t.Errorf("%s: a repeated call counts as the first one", name)
		}
		err := p.Announce(0, Announcement{
			Service: testService, Target: "a", Address: "127.0.0.1:1", Slots: 1, Phase: model.PhaseReady,
			StartTimeMS: c.heartbeatStartMS, Sequence: 5,
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := p.Target(0, "a"); ok != c.want {
			t.Errorf("%s: registered: %v, want %v", name, ok, c.want)
		}
	}
}

// Guards against a late heartbeat that brings a target into use before or after the departures that an earlier process of the
// node has acknowledged are restored.
func TestRestoredDepartureEndsUseOfTarget(t *testing.T) {
	const startTimeMS, sequence = 10, 5
	for name, c := range map[string]struct {
		departure model.Departure
		// restoredFirst means that the heartbeat comes after the departure.
		restoredFirst bool
		used          bool
	}{
		"left, then heard":            {model.Departure{Target: "a", StartTimeMS: startTimeMS}, true, false},
		"heard, then left":            {model.Departure{Target: "a", StartTimeMS: startTimeMS}, false, false},
		"draining, then heard":        {model.Departure{Target: "a", StartTimeMS: startTimeMS, Sequence: sequence + 1}, true, false},
		"heard, then draining":        {model.Departure{Target: "a", StartTimeMS: startTimeMS, Sequence: sequence + 1}, false, false},
		"ready again after draining":  {model.Departure{Target: "a", StartTimeMS: startTimeMS, Sequence: sequence - 1}, true, true},
		"process before has left":     {model.Departure{Target: "a", StartTimeMS: startTimeMS - 1}, true, true},
		"process before left, late":   {model.Departure{Target: "a", StartTimeMS: startTimeMS - 1}, false, true},
		"another target has left":     {model.Departure{Target: "b", StartTimeMS: startTimeMS}, false, true},
		"departure of unknown start":  {model.Departure{Target: "a", StartTimeMS: startTimeMS + 9, Estimated: true}, false, false},
		"started after unknown start": {model.Departure{Target: "a", StartTimeMS: startTimeMS - 9, Estimated: true}, false, true},
	} {
		p := NewPoint(DefaultLimits(), testIncarnation)
		p.Hold(true)
		restore := func() { p.RestoreDepartures(0, []model.Departure{c.departure}) }
		if c.restoredFirst {
			restore()
		}
		err := p.Announce(0, Announcement{
			Service: testService, Target: "a", Address: "127.0.0.1:1", Slots: 1, Phase: model.PhaseReady,
			StartTimeMS: startTimeMS, Sequence: sequence,
		})
		if err != nil {
			t.Fatal(err)
		}
		if target, ok := p.Target(0, "a"); ok && target.AcceptsRequests() {
			t.Errorf("%s: used before the departures are known", name)
		}
		if !c.restoredFirst {
			restore()
		}
		p.Hold(false)
		if target, ok := p.Target(0, "a"); ok && target.AcceptsRequests() != c.used || !ok && c.used {
			t.Errorf("%s: registered: %v, %+v; want use: %v", name, ok, target, c.used)
		}
	}
}

// Guards against a draining heartbeat whose acknowledgement ends with the process, and against one write for each repetition.
func TestDrainingHeartbeatIsDeparture(t *testing.T) {
	p := NewPoint(DefaultLimits(), testIncarnation)
	announce := func(sequence uint64, phase model.Phase) model.Departure {
		err := p.Announce(0, Announcement{
			Service: testService, Target: "a", Address: "127.0.0.1:1", Slots: 1, Phase: phase, StartTimeMS: 10, Sequence: sequence,
		})
		if err != nil {
			t.Fatal(err)
		}
		d, _ := p.Departure("a")
		return d
	}
	if d := announce(1, model.PhaseReady); d.Target != "" {
		t.Errorf("departure of a ready target: %+v", d)
	}
	first := announce(2, model.PhaseDraining)
	if !first.Covers(10, 2) || first.Covers(10, 3) {
		t.Errorf("departure after the first draining heartbeat: %+v", first)
	}
	if repeated := announce(3, model.PhaseDraining); repeated != first {
		t.Errorf("departure after a repetition: %+v", repeated)
	}
	announce(4, model.PhaseReady)
	if again := announce(5, model.PhaseDraining); !again.Covers(10, 4) {
		t.Errorf("departure after a target that was ready in between: %+v", again)
	}
}
