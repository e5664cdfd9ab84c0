package fleettest

import (
	"testing"

	"github.com/sardinereach/sardinereach/internal/fakestore"
)

// takeStoreDown makes every call of the store fail until the end of the test.
func (s *scene) takeStoreDown() {
	s.t.Helper()
	s.must(s.Store.SetFaults(s.ctx, fakestore.Faults{Down: true}))
}

// crashed returns the number of upstreams of the service that have ended.
func (s *scene) crashed(service string) int {
	crashed := 0
	for _, upstream := range s.Targets(service) {
		if !upstream.Running() {
			crashed++
		}
	}
	return crashed
}

// Guards against a quarantine that only the store carries from node to node. Promise: with the store down, a read that
// crashes its upstreams and is resent through all nodes in turn takes down at most two of them, and other reads go on.
func TestCrashingRequestIsQuarantinedWithoutTheStore(t *testing.T) {
	s := start(t, layoutOf(4, 1))
	s.takeStoreDown()
	poison := Request{Path: readPath, Token: "poison", Size: 13, Poison: true}
	var answers []Answer
	for i := range 2 * len(s.Nodes) {
		node := s.Nodes[i%len(s.Nodes)]
		answers = append(answers, s.caller.Fetch(s.ctx, node.Callers, poison))
	}
	if crashed := s.crashed("reads"); crashed == 0 || crashed > maxCrashes {
		t.Errorf("%d upstreams crashed; want 1 to %d; answers %s", crashed, maxCrashes, outcomes(answers))
	}
	if last := answers[len(answers)-1]; last.Reason != "quarantined" {
		t.Errorf("last answer %s; want quarantined", last.Outcome())
	}
	s.awaitWhole("after", maxReadBytes)
}

// Guards against the same with an operation for which the caller gets a new ticket from another node each time.
// Promise: with the store down, it takes down at most two upstreams.
func TestCrashingTicketedOperationIsQuarantinedWithoutTheStore(t *testing.T) {
	s := start(t, layoutOf(1, 4))
	s.takeStoreDown()
	var answers []Answer
	for i := range 2 * len(s.Nodes) {
		node := s.Nodes[i%len(s.Nodes)]
		ticket, err := s.caller.Ticket(s.ctx, node.Callers)
		s.must(err)
		request := Request{Path: operationPath, Token: "poison", Ticket: ticket, Poison: true}
		answers = append(answers, s.caller.Approve(s.ctx, node.Callers, request))
	}
	if crashed := s.crashed("ops"); crashed == 0 || crashed > maxCrashes {
		t.Errorf("%d upstreams crashed; want 1 to %d; answers %s", crashed, maxCrashes, outcomes(answers))
	}
	if last := answers[len(answers)-1]; last.Reason != "quarantined" {
		t.Errorf("last answer %s; want quarantined", last.Outcome())
	}
}
