package operator_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinereach/sardinereach/api/operatorv1"
	"github.com/sardinereach/sardinereach/internal/operator"
	"github.com/sardinereach/sardinereach/internal/operator/fakefleet"
)

// Guards against a second apply of the same file that writes again, or that reports a conflict because the first apply
// has raised the revision.
func TestApplyTwiceChangesNothing(t *testing.T) {
	fleet := fakefleet.New()
	server := newServer(fleet)
	text := strings.Replace(proofroom, "{", "at revision 0 {", 1)
	if change := applyOne(t, server, text); change.Outcome != operator.OutcomeCreated {
		t.Fatalf("first apply: %v", change)
	}
	change := applyOne(t, server, text)
	if change.Outcome != operator.OutcomeUnchanged || change.Revision != 1 || fleet.Writes() != 1 {
		t.Errorf("second apply: %v, %d writes", change, fleet.Writes())
	}
}

// Guards against an outdated file that overwrites a newer change.
func TestExpectedRevision(t *testing.T) {
	_, server := declaredFleet(t)
	for text, want := range map[string]string{
		`declare service proofroom at revision 9 { floor 7 slots; }`: "the service is at revision 1",
		`declare service other at revision 3 { }`:                    "does not exist",
	} {
		change := applyOne(t, server, text)
		if change.Outcome != operator.OutcomeConflict || !strings.Contains(change.Error, want) || len(change.Differences) == 0 {
			t.Errorf("%s: %v", text, change)
		}
	}
}

// Guards against dangerous changes without force, against a dry run that writes, and against the rejection of one
// service that also prevents the change of another service.
func TestDangersAndDryRun(t *testing.T) {
	fleet, server := declaredFleet(t)
	text := `declare service proofroom { floor 29 slots; } declare service other { floor 1 slots; }`
	answer := apply(t, server, &operatorv1.ApplyRequest{Declarations: text, DryRun: true, Force: true})
	if fleet.Writes() != 1 || answer.Changes[0].Outcome != operator.OutcomeChanged {
		t.Fatalf("dry run: %v, %d writes", answer, fleet.Writes())
	}
	answer = apply(t, server, &operatorv1.ApplyRequest{Declarations: text})
	rejected, created := answer.Changes[0], answer.Changes[1]
	if rejected.Outcome != operator.OutcomeRejected || !strings.Contains(rejected.Warnings[0], "capacity of 28 slots") {
		t.Errorf("dangerous change: %v", rejected)
	}
	if created.Outcome != operator.OutcomeCreated || len(created.Warnings) != 1 {
		t.Errorf("service without targets: %v", created)
	}
	answer = apply(t, server, &operatorv1.ApplyRequest{Declarations: text, Force: true})
	if answer.Changes[0].Outcome != operator.OutcomeChanged {
		t.Errorf("forced change: %v", answer.Changes[0])
	}
}

// Guards against an apply that returns before the change is active, and against one that never returns because of an
// unresponsive node.
func TestApplyWaitsUntilActive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := fakefleet.New()
		server := newServer(fleet)
		fleet.PinConfig("n2")
		fleet.PinConfig("n3")
		fleet.SetUnresponsive("n3")
		time.AfterFunc(time.Second, func() { fleet.UnpinConfig("n2") })
		// This is the fake clock of synctest.
		start := time.Now()
		answer := apply(t, server, &operatorv1.ApplyRequest{Declarations: proofroom, WaitMs: 60_000})
		if waited := time.Since(start); waited < time.Second || waited > 2*time.Second {
			t.Errorf("waited %s for a node that applies the change after 1s", waited)
		}
		if got := strings.Join(answer.NodesBehind, ","); got != "n3" || answer.NodesInForce != 3 {
			t.Errorf("behind %q, active on %d nodes, want n3 and 3", got, answer.NodesInForce)
		}
	})
}

// Guards against a wait without a limit, and against a response that does not list the nodes that are behind.
func TestApplyWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := fakefleet.New()
		fleet.PinConfig("n2")
		answer := apply(t, newServer(fleet), &operatorv1.ApplyRequest{Declarations: proofroom, WaitMs: 1 << 62})
		if got := strings.Join(answer.NodesBehind, ","); got != "n2" {
			t.Errorf("behind %q, want n2", got)
		}
	})
}
