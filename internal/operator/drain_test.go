package operator_test

import (
	"strings"
	"testing"

	"connectrpc.com/connect"

	"github.com/sardinereach/sardinereach/internal/operator"
)

// Guards against a drain that takes a service below its floor without force, and against a refusal that does not report
// the capacity.
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

// Guards against concurrent drains of two operators that together take the service below its floor.
func TestConcurrentDrainsMeetFloor(t *testing.T) {
	fleet, server := declaredFleet(t)
	mustExecute(t, server, "drain target proof-1")
	other := newServer(fleet)
	fleet.BeforeNextWrite(func() { mustExecute(t, other, "drain target proof-2") })
	_, err := execute(server, "drain target proof-3")
	expectCode(t, err, connect.CodeFailedPrecondition, "7 after the drain, floor 14")
}

// Guards against a refused drain of a target that does not count as healthy capacity. Draining it does not reduce the
// healthy capacity.
func TestDrainOfSuspectedTargetIsAllowed(t *testing.T) {
	fleet, server := declaredFleet(t)
	fleet.Suspect("n1")
	fleet.Suspect("n2")
	fleet.Suspect("n3")
	mustExecute(t, server, "drain target proof-1")
	impact := operator.CapacityImpact{Usable: 7, AfterDrain: 7, Floor: 14}
	if impact.BelowFloor() {
		t.Error("a drain that removes no healthy capacity counts as below the floor")
	}
}

// Guards against an apply that ends a drain. This could happen because a declaration does not list drains.
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
