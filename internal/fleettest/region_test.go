package fleettest

import (
	"net"
	"testing"

	"github.com/pkg/errors"

	"github.com/sardinereach/sardinereach/internal/relay"
)

// regionsLayout has one node with a target of reads in each of two regions, so that the relays of the nodes carry
// nothing but the traffic between the regions.
func regionsLayout() Layout {
	return Layout{
		Domains:      []Domain{{Name: "hobart-a", Region: "tas-south"}, {Name: "launceston-a", Region: "tas-north"}},
		Services:     []Service{{Name: "reads", Targets: 2, Slots: testSlots, Path: readPath}},
		Declarations: floorDocument(1),
	}
}

// moveStoreBehindRelay restarts the node with a relay between it and the store.
func (s *scene) moveStoreBehindRelay(node *Node) *relay.Relay {
	s.t.Helper()
	link, err := relay.Start(net.JoinHostPort(node.vm, "0"), s.Store.address, nil)
	s.must(err)
	s.t.Cleanup(link.Close)
	node.Kill()
	s.must(node.configure(link.Address(), s.seeds(node), nil))
	s.must(node.Start())
	s.must(s.WaitReady(s.ctx))
	s.must(s.WaitRoutes(s.ctx))
	return link
}

// awaitFloorAt waits until the floor is in force at the node.
func (s *scene) awaitFloorAt(node *Node, floor int) {
	s.t.Helper()
	s.await("the floor at "+node.ID, func() error {
		got, err := s.floorAt(node)
		if err == nil && got != floor {
			err = errors.Errorf("floor %d; want %d", got, floor)
		}
		return err
	})
}

// readFrom requires that reads come to be answered whole by the target beside the node.
func (s *scene) readFrom(node *Node, target string) {
	s.t.Helper()
	const reads = 10
	s.await("reads through "+node.ID+" by "+target, func() error {
		for range reads {
			request := Request{Path: readPath, Token: "during", Size: maxReadBytes, Timeout: faultTimeout}
			answer := s.caller.Fetch(s.ctx, node.Callers, request)
			s.checkHonest(answer)
			if err := answer.wholeOrError(); err != nil {
				return err
			}
			if answer.Target != target {
				return errors.Errorf("answered by %s", answer.Target)
			}
		}
		return nil
	})
}

// Guards against a region that stops serving when it is cut off from the other region and the store, and against one
// that keeps or brings back an old configuration after the cut. Promise: each region serves from its own targets, a
// change accepted during the cut reaches the other region after it, and a return of the cut does not revert it.
func TestRegionCutOff(t *testing.T) {
	s := startRelayed(t, regionsLayout())
	south, north := s.Nodes[0], s.Nodes[1]
	toStore := s.moveStoreBehindRelay(north)
	s.awaitFloorAt(north, 1)
	links := []*relay.Relay{s.relayed(south), s.relayed(north), toStore}
	cutAll(links)
	s.readFrom(south, "reads-1")
	s.readFrom(north, "reads-2")
	_, err := s.Control(s.ctx, south, floorDocument(3), "apply", "-")
	s.must(err)
	s.awaitFloorAt(south, 3)
	if floor, err := s.floorAt(north); err != nil || floor != 1 {
		t.Fatalf("floor %d, %v at the region that is cut off; want 1, else the cut cuts nothing", floor, err)
	}
	healAll(links)
	s.awaitFloorAt(north, 3)
	cutAll(links)
	s.readFrom(south, "reads-1")
	s.readFrom(north, "reads-2")
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
