package operator_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/operator"
	"github.com/sardinereach/sardinereach/internal/operator/fakefleet"
)

type eventRecorder struct {
	names []string
	text  string
}

func (e *eventRecorder) Write(_ events.Severity, line string) {
	e.names = append(e.names, strings.TrimSuffix(strings.Fields(line)[1], ":"))
	e.text += line + "\n"
}

// Guards against changes by operators without an event, and against events for changes that were not made.
func TestOperatorEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink := new(eventRecorder)
		fleet := fakefleet.New()
		server := operator.NewServer(fleet, operator.Options{Node: "n1", Events: events.New(sink, time.Now)})
		expect := func(step, want string) {
			t.Helper()
			if got := strings.Join(sink.names, " "); got != want {
				t.Errorf("%s: events %q, want %q", step, got, want)
			}
			sink.names = nil
		}
		fleet.Inject(fakefleet.ResponseLostAfterWrite)
		applyOne(t, server, proofroom)
		expect("apply with a lost response", "store_outcome_unknown apply_accepted apply_in_force")
		applyOne(t, server, strings.Replace(proofroom, "{", "at revision 9 {", 1))
		expect("same content", "apply_in_force")
		applyOne(t, server, `declare service proofroom at revision 9 { }`)
		expect("conflict", "apply_conflict")
		fleet.Inject(fakefleet.Unavailable)
		_, _ = execute(server, "drain target proof-1")
		expect("drain while the store is unavailable", "")
		mustExecute(t, server, "drain target proof-1")
		mustExecute(t, server, "drain target proof-2")
		_, _ = execute(server, "drain target proof-3")
		mustExecute(t, server, "drain target proof-3 force")
		mustExecute(t, server, "restore target proof-3")
		expect("drains", "drain_started operator_command drain_started operator_command drain_refused drain_forced operator_command drain_ended operator_command")
		fleet.PinConfig("n4")
		applyOne(t, server, `declare service proofroom { route "/a-route-name"; }`)
		expect("a node is behind", "apply_accepted apply_behind")
		if strings.Contains(sink.text, "a-route-name") {
			t.Errorf("the log contains the text of a declaration:\n%s", sink.text)
		}
	})
}
