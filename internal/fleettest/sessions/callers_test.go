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

// read sends one read through the node.
func (s *scene) read(node *fleettest.Node) fleettest.Answer {
	s.serial++
	return s.caller.Fetch(s.ctx, node.Callers, fleettest.Request{Path: "/reads", Token: fmt.Sprint("read-", s.serial), Size: 100})
}

// loadUntil runs "load EVENT": it sends reads through all running nodes until a node has logged the event.
func loadUntil(ts *testscript.TestScript, _ bool, arguments []string) {
	s := sceneOf(ts)
	ts.Check(fleettest.Poll(s.ctx, arguments[0], func(context.Context) error {
		for _, node := range s.Nodes {
			s.read(node)
		}
		return s.hasLogged(arguments[0], s.Nodes)
	}))
}

// awaitLogged runs "logged EVENT [NODE...]" until one of the nodes has logged the event; the default is all nodes.
func awaitLogged(ts *testscript.TestScript, _ bool, arguments []string) {
	s := sceneOf(ts)
	nodes := s.Nodes
	if ids := arguments[1:]; len(ids) > 0 {
		nodes = slices.DeleteFunc(slices.Clone(nodes), func(n *fleettest.Node) bool { return !slices.Contains(ids, n.ID) })
	}
	ts.Check(fleettest.Poll(s.ctx, arguments[0], func(context.Context) error { return s.hasLogged(arguments[0], nodes) }))
}

func (s *scene) hasLogged(event string, nodes []*fleettest.Node) error {
	for _, node := range nodes {
		if strings.Contains(node.Log(), event+" ") {
			return nil
		}
	}
	return errors.Errorf("no node has logged %s", event)
}

// approve runs "approve key NAME" or "approve ticket NAME" through the first node and writes what the caller got.
func approve(ts *testscript.TestScript, _ bool, arguments []string) {
	s, node := sceneOf(ts), sceneOf(ts).Nodes[0]
	request := fleettest.Request{Path: "/ops", Token: arguments[1], Key: arguments[1]}
	if arguments[0] == "ticket" {
		ticket, err := s.caller.Ticket(s.ctx, node.Callers)
		ts.Check(err)
		request.Key, request.Ticket = "", ticket
	}
	writeAnswer(ts, s.caller.Approve(s.ctx, node.Callers, request))
}

// poison sends reads that crash their upstreams through all nodes until one is refused, and writes the refusal.
func poison(ts *testscript.TestScript, _ bool, _ []string) {
	s := sceneOf(ts)
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
	write(ts, fmt.Sprintln(answer.Status, answer.Outcome()))
}
