package operator_test

import (
	"strings"
	"testing"

	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/internal/operator"
)

// Guards against a drain that takes a service below its floor without force, and against a refusal without figures.
func TestDrainAtFloor(t *testing.T) {
	_, server := declaredFleet(t)
	mustExecute(t, server, "drain target proof-1")
	mustExecute(t, server, "drain target proof-2")
	_, err := execute(server, "drain target proof-3")
	expectCode(t, err, connect.CodeFailedPrecondition, "usable 14 slots, 7 after the drain, floor 14", "force")
	answer := mustExecute(t, server, "drain target proof-3 force")
	if !strings.Contains(answer.Message, "is draining") {
		t.Errorf("message %q", answer.Message)
	}
	answer = mustExecute(t, server, "drain target proof-3")
	if !strings.Contains(answer.Message, "drained already") {
		t.Errorf("message %q", answer.Message)
	}
	mustExecute(t, server, "restore target proof-1")
	_, err = execute(server, "drain target prof-1")
	expectCode(t, err, connect.CodeNotFound, `did you mean "proof-1"?`)
}

// Guards against two operators who drain at the same time and pass the floor together.
func TestConcurrentDrainsMeetFloor(t *testing.T) {
	fleet, server := declaredFleet(t)
	mustExecute(t, server, "drain target proof-1")
	other := newServer(fleet)
	fleet.BeforeNextWrite(func() { mustExecute(t, other, "drain target proof-2") })
	_, err := execute(server, "drain target proof-3")
	expectCode(t, err, connect.CodeFailedPrecondition, "7 after the drain, floor 14")
}

// Guards against refusing the drain of a target that is no healthy capacity: it does not go below the floor by it.
func TestDrainOfSuspectTargetIsAllowed(t *testing.T) {
	fleet, server := declaredFleet(t)
	fleet.Suspect("n1")
	fleet.Suspect("n2")
	fleet.Suspect("n3")
	mustExecute(t, server, "drain target proof-1")
	figures := operator.Figures{Usable: 7, After: 7, Floor: 14}
	if figures.BelowFloor() {
		t.Error("a drain that removes no healthy capacity counts as below the floor")
	}
}

// Guards against an apply that ends a drain, because a declaration does not list drains.
func TestApplyKeepsDrains(t *testing.T) {
	fleet, server := declaredFleet(t)
	mustExecute(t, server, "drain target proof-1")
	change := applyOne(t, server, strings.Replace(proofroom, "floor 14", "floor 7", 1))
	if change.Outcome != operator.OutcomeChanged {
		t.Fatalf("change %v", change)
	}
	if drains := fleet.Snapshot().Services[0].Service.Draining; len(drains) != 1 {
		t.Errorf("drains after the apply: %v", drains)
	}
}
