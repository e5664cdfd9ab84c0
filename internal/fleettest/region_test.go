package fleettest

import (
	"net"
	"testing"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/relay"
)

// regionsLayout returns a layout with one node and its target of reads in each of two regions. All traffic through the
// relays is then traffic between the regions.
func regionsLayout() Layout {
	return Layout{
		Domains:      []Domain{{Name: "hobart-a", Region: "tas-south"}, {Name: "launceston-a", Region: "tas-north"}},
		Services:     []Service{{Name: "reads", Targets: 2, Slots: testSlots, Path: readPath}},
		Declarations: floorDeclaration(1),
	}
}

// moveStoreBehindRelay restarts the node with a relay between it and the store.
func (s *testFleet) moveStoreBehindRelay(node *Node) *relay.Relay {
	s.t.Helper()
	link, err := relay.Start(net.JoinHostPort(node.vmAddress, "0"), s.Store.address, nil)
	s.must(err)
	s.t.Cleanup(link.Close)
	node.Kill()
	s.must(node.configure(link.Address(), s.seeds(node), nil))
	s.must(node.Start())
	s.must(s.WaitReady(s.ctx))
	s.must(s.WaitRoutes(s.ctx))
	return link
}

// awaitFloorAt waits until the capacity floor is active on the node.
func (s *testFleet) awaitFloorAt(node *Node, floor int) {
	s.t.Helper()
	s.await("the floor at "+node.ID, func() error {
		got, err := s.floorAt(node)
		if err == nil && got != floor {
			err = errors.Errorf("floor %d; want %d", got, floor)
		}
		return err
	})
}

// awaitReadsServedBy waits until the target serves all of a series of reads through the node completely.
func (s *testFleet) awaitReadsServedBy(node *Node, target string) {
	s.t.Helper()
	const reads = 10
	s.await("reads through "+node.ID+" by "+target, func() error {
		for range reads {
			request := Request{Path: readPath, Token: "during", Size: maxReadBytes, Timeout: faultTimeout}
			answer := s.caller.Fetch(s.ctx, node.Callers, request)
			s.checkFailureReported(answer)
			if err := answer.requireComplete(); err != nil {
				return err
			}
			if answer.Target != target {
				return errors.Errorf("served by %s", answer.Target)
			}
		}
		return nil
	})
}

// Guards against a region that stops serving when it is cut off from the other region and the store, and against an old
// configuration that stays or returns after the cut. Each region must serve from its own targets, a change accepted
// during the cut must reach the other region afterwards, and a second cut must not revert it.
func TestRegionCutOff(t *testing.T) {
	s := startRelayed(t, regionsLayout())
	south, north := s.Nodes[0], s.Nodes[1]
	toStore := s.moveStoreBehindRelay(north)
	s.awaitFloorAt(north, 1)
	links := []*relay.Relay{s.requireRelayed(south), s.requireRelayed(north), toStore}
	cutAll(links)
	s.awaitReadsServedBy(south, "reads-1")
	s.awaitReadsServedBy(north, "reads-2")
	_, err := s.Control(s.ctx, south, floorDeclaration(3), "apply", "-")
	s.must(err)
	s.awaitFloorAt(south, 3)
	if floor, err := s.floorAt(north); err != nil || floor != 1 {
		t.Fatalf("floor %d, %v in the region that is cut off; want 1: the relays block no traffic", floor, err)
	}
	healAll(links)
	s.awaitFloorAt(north, 3)
	cutAll(links)
	s.awaitReadsServedBy(south, "reads-1")
	s.awaitReadsServedBy(north, "reads-2")
	for _, node := range s.Nodes {
		if floor, err := s.floorAt(node); err != nil || floor != 3 {
			t.Errorf("floor %d, %v at %s after the second cut; want 3", floor, err, node.ID)
		}
	}
}

func cutAll(links []*relay.Relay) {
	for _, link := range links {
		link.Cut(relay.Forward)
		link.Cut(relay.Backward)
	}
}

func healAll(links []*relay.Relay) {
	for _, link := range links {
		link.Heal(relay.Forward)
		link.Heal(relay.Backward)
	}
}
