package sessions

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sardinereach/sardinereach/internal/fleettest"
)

// read sends one read with a new token through the node.
func (s *testFleet) read(node *fleettest.Node) fleettest.Answer {
	s.readCount++
	return s.caller.Fetch(s.ctx, node.Callers, fleettest.Request{Path: "/reads", Token: fmt.Sprint("read-", s.readCount), Size: 100})
}

// loadUntil implements "load EVENT": it sends reads through all running nodes until a node has logged the event.
func loadUntil(ts *testscript.TestScript, _ bool, arguments []string) {
	s := testFleetOf(ts)
	ts.Check(fleettest.Poll(s.ctx, arguments[0], func(context.Context) error {
		for _, node := range s.Nodes {
			s.read(node)
		}
		return s.hasLogged(arguments[0], s.Nodes)
	}))
}

// awaitLogged implements "logged EVENT [NODE...]": it waits until one of the nodes has logged the event. The default is
// all nodes.
func awaitLogged(ts *testscript.TestScript, _ bool, arguments []string) {
	s := testFleetOf(ts)
	nodes := s.Nodes
	if ids := arguments[1:]; len(ids) > 0 {
		nodes = slices.DeleteFunc(slices.Clone(nodes), func(n *fleettest.Node) bool { return !slices.Contains(ids, n.ID) })
	}
	ts.Check(fleettest.Poll(s.ctx, arguments[0], func(context.Context) error { return s.hasLogged(arguments[0], nodes) }))
}

func (s *testFleet) hasLogged(event string, nodes []*fleettest.Node) error {
	for _, node := range nodes {
		if strings.Contains(node.Log(), event+" ") {
			return nil
		}
	}
	return errors.Errorf("no node has logged %s", event)
}

// runOperation implements "approve key NAME" and "approve ticket NAME": it sends an operation through the first node
// and writes the status and outcome.
func runOperation(ts *testscript.TestScript, _ bool, arguments []string) {
	s, node := testFleetOf(ts), testFleetOf(ts).Nodes[0]
	request := fleettest.Request{Path: "/ops", Token: arguments[1], Key: arguments[1]}
	if arguments[0] == "ticket" {
		ticket, err := s.caller.Ticket(s.ctx, node.Callers)
		ts.Check(err)
		request.Key, request.Ticket = "", ticket
	}
	writeAnswer(ts, s.caller.RunOperation(s.ctx, node.Callers, request))
}

// sendPoison implements "poison": it sends a read that crashes its upstreams through all nodes in turn until it is
// refused as quarantined, and writes the last response.
func sendPoison(ts *testscript.TestScript, _ bool, _ []string) {
	s := testFleetOf(ts)
	request := fleettest.Request{Path: "/reads", Token: "poison", Size: 13, Poison: true}
	for _, node := range s.Nodes {
		answer := s.caller.Fetch(s.ctx, node.Callers, request)
		writeAnswer(ts, answer)
		if answer.Reason == "quarantined" {
			return
		}
	}
}

func writeAnswer(ts *testscript.TestScript, answer fleettest.Answer) {
	writeOutput(ts, fmt.Sprintln(answer.Status, answer.Outcome()))
}
