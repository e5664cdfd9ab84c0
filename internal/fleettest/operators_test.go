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

// floorDocument declares the service reads with a floor.
func floorDocument(floor int) string {
	return fmt.Sprintf(`declare service reads { floor %d slots; policy huon; route GET "/reads" { timeout 20s; } }`, floor)
}

// floorAt returns the floor of the service reads in force at the node.
func (s *scene) floorAt(node *Node) (int, error) {
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
	return 0, errors.Errorf("%s does not know the service", node.ID)
}

// awaitFloor waits until the floor is in force at all nodes.
func (s *scene) awaitFloor(floor int) {
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

// Guards against two operators who both believe that their change is in force. Promise: if both apply a change to the
// same service at the same revision through different nodes, exactly one is accepted, the other is told of the
// conflict, and the accepted one is in force everywhere.
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
			document := strings.Replace(floorDocument(i+1), "declare service reads {", at, 1)
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
		t.Errorf("the other operator was told:\n%s", outputs[loser])
	}
	s.awaitFloor(winner + 1)
}

// Guards against a change that is in force while its operator was told that it failed, because the store's answer was
// lost. Promise: the node reads back, the change is accepted once and in force everywhere.
func TestStoreAnswerLostOnApply(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	s.must(s.Store.SetFaults(s.ctx, fakestore.Faults{LoseAnswers: 1}))
	output, err := s.Control(s.ctx, s.Nodes[0], floorDocument(3), "apply", "-wait", "-")
	s.must(err)
	if strings.Contains(output, "conflict") {
		t.Errorf("the operator was told:\n%s", output)
	}
	faults, err := s.Store.Faults(s.ctx)
	s.must(err)
	if faults.LoseAnswers != 0 {
		t.Fatal("no answer was lost")
	}
	s.awaitFloor(3)
}

// Guards against a change that is accepted and then reverts, at a node that restarts or that was paused. Promise: after
// their return all nodes have the accepted change.
func TestAcceptedChangeOutlivesRestartAndPause(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	restarted, paused := s.Nodes[1], s.Nodes[2]
	s.must(paused.Pause())
	_, err := s.Control(s.ctx, s.Nodes[0], floorDocument(5), "apply", "-")
	s.must(err)
	restarted.Kill()
	s.must(restarted.Start())
	s.must(paused.Resume())
	s.must(restarted.WaitReady(s.ctx))
	s.awaitFloor(5)
}
