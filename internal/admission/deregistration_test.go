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
