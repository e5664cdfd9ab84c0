package fleettest

import (
	"fmt"
	"testing"

	"github.com/sardinereach/sardinereach/internal/fakestore"
)

// Guards against a fleet that needs the store for more than claims and changes. Promise: with the store down, reads go
// on through every node, keyed operations are refused as not run, and operations with a ticket run once.
func TestStoreDown(t *testing.T) {
	s := start(t, layoutOf(2, 2))
	s.must(s.Store.SetFaults(s.ctx, fakestore.Faults{Down: true}))
	s.readAll(s.Nodes, "read", 80)
	for i, node := range s.Nodes {
		name := fmt.Sprintf("keyed-%d", i)
		answer := s.caller.Approve(s.ctx, node.Callers, operation(name))
		if answer.Verdict != NotRun || answer.Reason != "store_unavailable" {
			t.Errorf("keyed operation through %s: %s", node.ID, answer.Outcome())
		}
		s.checkOnce(name, answer)
	}
	for i, issuer := range s.Nodes {
		name := fmt.Sprintf("ticketed-%d", i)
		ticket, err := s.caller.Ticket(s.ctx, issuer.Callers)
		s.must(err)
		request := Request{Path: operationPath, Token: name, Ticket: ticket}
		other := s.Nodes[(i+1)%len(s.Nodes)]
		first := s.caller.Approve(s.ctx, other.Callers, request)
		second := s.caller.Approve(s.ctx, issuer.Callers, request)
		if !first.Whole || !second.Whole || !second.Replayed {
			t.Errorf("ticket of %s: %s, then %s, replayed %t", issuer.ID, first.Outcome(), second.Outcome(), second.Replayed)
		}
		s.checkOnce(name, first, second)
	}
}

// Guards against a new node that needs the store to begin, and against one that begins without the configuration.
// Promise: it learns the configuration from its seeds, and carries reads.
func TestNodeStartsWhileStoreIsDown(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	s.must(s.Store.SetFaults(s.ctx, fakestore.Faults{Down: true}))
	node, err := s.AddNode("node-late", Domain{Name: "hobart-b", Region: "tas-south"})
	s.must(err)
	s.must(node.WaitReady(s.ctx))
	s.readAll([]*Node{node}, "read", 20)
}

// Guards against a node that answers callers before it has any configuration. Promise: without store and seeds it is
// not ready, and says of requests that they were not run.
func TestNodeWithoutConfigurationIsNotReady(t *testing.T) {
	s := start(t, layoutOf(1, 1))
	s.must(s.Store.SetFaults(s.ctx, fakestore.Faults{Down: true}))
	alone, err := s.newNode("node-alone", Domain{Name: "hobart-a", Region: "tas-south"})
	s.must(err)
	s.must(alone.configure(s.Store.address, nil, nil))
	s.must(alone.Start())
	s.Nodes = append(s.Nodes, alone)
	var answer Answer
	s.await("an answer of the node", func() error {
		answer = s.caller.Fetch(s.ctx, alone.Callers, Request{Path: readPath, Token: "read"})
		return answer.Err
	})
	if answer.Verdict != NotRun || answer.Reason != "not_ready" {
		t.Errorf("answered %s; want not-run not_ready", answer.Outcome())
	}
	if alone.health(s.ctx) == nil {
		t.Error("the node reports that it is ready")
	}
}
