package fleettest

import (
	"fmt"
	"testing"

	"github.com/sardinereach/sardinereach/internal/fakestore"
)

// Guards against nodes that need the store for more than claims and configuration changes. With the store down, reads
// through every node must succeed, keyed operations must be refused as not run, and operations with a ticket must run
// once.
func TestStoreDown(t *testing.T) {
	s := start(t, layoutOf(2, 2))
	s.must(s.Store.SetFaults(s.ctx, fakestore.Faults{Down: true}))
	s.readAll(s.Nodes, "read", 80)
	for i, node := range s.Nodes {
		name := fmt.Sprintf("keyed-%d", i)
		answer := s.caller.RunOperation(s.ctx, node.Callers, operation(name))
		if answer.Verdict != NotRun || answer.Reason != "store_unavailable" {
			t.Errorf("keyed operation through %s: %s", node.ID, answer.Outcome())
		}
		s.checkAtMostOnce(name, answer)
	}
	for i, issuer := range s.Nodes {
		name := fmt.Sprintf("ticketed-%d", i)
		ticket, err := s.caller.Ticket(s.ctx, issuer.Callers)
		s.must(err)
		request := Request{Path: operationPath, Token: name, Ticket: ticket}
		other := s.Nodes[(i+1)%len(s.Nodes)]
		first := s.caller.RunOperation(s.ctx, other.Callers, request)
		second := s.caller.RunOperation(s.ctx, issuer.Callers, request)
		if !first.Complete || !second.Complete || !second.Replayed {
			t.Errorf("ticket of %s: %s, then %s, replayed %t", issuer.ID, first.Outcome(), second.Outcome(), second.Replayed)
		}
		s.checkAtMostOnce(name, first, second)
	}
}

// Guards against a new node that needs the store to start, and against one that serves without the configuration. It
// must receive the configuration from its seeds and then serve reads.
func TestNodeStartsWhileStoreIsDown(t *testing.T) {
	s := start(t, layoutOf(2, 1))
	s.must(s.Store.SetFaults(s.ctx, fakestore.Faults{Down: true}))
	node, err := s.AddNode("node-late", Domain{Name: "hobart-b", Region: "tas-south"})
	s.must(err)
	s.must(node.WaitReady(s.ctx))
	s.readAll([]*Node{node}, "read", 20)
}

// Guards against a node that serves callers before it has a configuration. Without store and seeds it must not be ready
// and must refuse requests as not run.
func TestNodeWithoutConfigurationIsNotReady(t *testing.T) {
	s := start(t, layoutOf(1, 1))
	s.must(s.Store.SetFaults(s.ctx, fakestore.Faults{Down: true}))
	alone, err := s.newNode("node-alone", Domain{Name: "hobart-a", Region: "tas-south"})
	s.must(err)
	s.must(alone.configure(s.Store.address, nil, nil))
	s.must(alone.Start())
	s.Nodes = append(s.Nodes, alone)
	var answer Answer
	s.await("a response of the node", func() error {
		answer = s.caller.Fetch(s.ctx, alone.Callers, Request{Path: readPath, Token: "read"})
		return answer.Err
	})
	if answer.Verdict != NotRun || answer.Reason != "not_ready" {
		t.Errorf("outcome %s; want not-run not_ready", answer.Outcome())
	}
	if alone.health(s.ctx) == nil {
		t.Error("the node reports that it is ready")
	}
}
