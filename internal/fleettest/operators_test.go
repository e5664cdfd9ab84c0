package fleettest

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/statement"
)

// floorDeclaration returns a declaration of the service reads with the capacity floor in slots.
func floorDeclaration(floor int) string {
	return fmt.Sprintf(`declare service reads { floor %d slots; policy huon; route GET "/reads" { timeout 20s; } }`, floor)
}

// floorAt returns the capacity floor of the service reads in the active configuration of the node.
func (s *testFleet) floorAt(node *Node) (int, error) {
	text, err := node.Export(s.ctx)
	if err != nil {
		return 0, err
	}
	declarations, err := statement.ParseDeclarations(text)
	if err != nil {
		return 0, errors.Wrap(err, text)
	}
	for i := range declarations {
		if declarations[i].Service.Name == "reads" {
			return declarations[i].Service.FloorSlots, nil
		}
	}
	return 0, errors.Errorf("%s has no declaration of the service", node.ID)
}

// awaitFloor waits until the capacity floor is active on all nodes.
func (s *testFleet) awaitFloor(floor int) {
	s.t.Helper()
	for _, node := range s.Nodes {
		s.await(fmt.Sprintf("floor %d at %s", floor, node.ID), func() error {
			got, err := s.floorAt(node)
			if err == nil && got != floor {
				err = errors.Errorf("floor %d", got)
			}
			return err
		})
	}
}

// Guards against concurrent changes that are both reported as accepted. Two operators apply a change to the same
// service at the same revision through different nodes. Exactly one must be accepted and become active on all nodes;
// the other must be rejected with a conflict.
func TestTwoOperatorsApplyAtTheSameMoment(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	text, err := s.Nodes[0].Export(s.ctx)
	s.must(err)
	declarations, err := statement.ParseDeclarations(text)
	s.must(err)
	revision := int64(0)
	for i := range declarations {
		if declarations[i].Service.Name == "reads" {
			revision = declarations[i].Revision
		}
	}
	if revision <= 0 {
		t.Fatalf("the export names no revision:\n%s", text)
	}
	at := fmt.Sprintf("declare service reads at revision %d {", revision)
	accepted := make([]bool, 2)
	outputs := make([]string, 2)
	var wait sync.WaitGroup
	for i := range 2 {
		wait.Go(func() {
			document := strings.Replace(floorDeclaration(i+1), "declare service reads {", at, 1)
			output, err := s.Control(s.ctx, s.Nodes[i], document, "apply", "-wait", "-")
			accepted[i] = err == nil
			outputs[i] = output
		})
	}
	wait.Wait()
	if accepted[0] == accepted[1] {
		t.Fatalf("accepted: %v; want exactly one\n%s", accepted, strings.Join(outputs, "\n"))
	}
	winner, loser := 0, 1
	if accepted[1] {
		winner, loser = 1, 0
	}
	if !strings.Contains(outputs[loser], "conflict") {
		t.Errorf("the rejected apply reports no conflict:\n%s", outputs[loser])
	}
	s.awaitFloor(winner + 1)
}

// Guards against a change that becomes active although its apply reported a failure, because the store's response to
// the write was lost. The node must read the document back, accept the change once and make it active on all nodes.
func TestStoreAnswerLostOnApply(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	s.must(s.Store.SetFaults(s.ctx, fakestore.Faults{LoseAnswers: 1}))
	output, err := s.Control(s.ctx, s.Nodes[0], floorDeclaration(3), "apply", "-wait", "-")
	s.must(err)
	if strings.Contains(output, "conflict") {
		t.Errorf("the apply reports a conflict:\n%s", output)
	}
	faults, err := s.Store.Faults(s.ctx)
	s.must(err)
	if faults.LoseAnswers != 0 {
		t.Fatal("the store has lost no response")
	}
	s.awaitFloor(3)
}

// Guards against an accepted change that reverts on a node that was restarted or paused. All nodes must have the change
// after the restart and the resume.
func TestAcceptedChangeOutlivesRestartAndPause(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	restarted, paused := s.Nodes[1], s.Nodes[2]
	s.must(paused.Pause())
	_, err := s.Control(s.ctx, s.Nodes[0], floorDeclaration(5), "apply", "-")
	s.must(err)
	restarted.Kill()
	s.must(restarted.Start())
	s.must(paused.Resume())
	s.must(restarted.WaitReady(s.ctx))
	s.awaitFloor(5)
}
