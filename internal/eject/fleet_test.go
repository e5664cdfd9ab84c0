package eject

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	fleetNodes = 4
	// maxDrift is the maximum deviation of a node's clock rate.
	maxDrift = 0.01
)

// pendingUpdate is a document that is being sent to a node.
type pendingUpdate struct {
	doc      Document
	revision int64
	// age is the age at the sender; requestedAt is the receiver's time at which it sent the request.
	age, requestedAt time.Duration
}

// pendingSwap is a change that a node has prepared and not yet written to the store.
type pendingSwap struct {
	doc    Document
	expect int64
	sentAt time.Duration
}

// fleetNode is a node with its own clock. A node without actions for some time simulates a paused node.
type fleetNode struct {
	request PermitRequest
	offset  time.Duration
	rate    float64
	view    View
	update  *pendingUpdate
	swap    *pendingSwap
}

type fleet struct {
	register register
	nodes    [fleetNodes]*fleetNode
	now      time.Duration
	floor    int
}

func (f *fleet) clock(n *fleetNode) time.Duration {
	return n.offset + time.Duration(float64(f.now)*n.rate)
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{floor: rapid.SampledFrom([]int{35, 42, 49}).Draw(t, "floor")}
	for i := range f.nodes {
		f.nodes[i] = &fleetNode{
			request: permitRequest(i),
			offset:  time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Second,
			rate:    rapid.SampledFrom([]float64{1 - maxDrift, 1, 1 + maxDrift}).Draw(t, "rate"),
		}
	}
	return f
}

func (f *fleet) actions() map[string]func(*rapid.T) {
	node := func(t *rapid.T) *fleetNode { return rapid.SampledFrom(f.nodes[:]).Draw(t, "node") }
	return map[string]func(*rapid.T){
		"pass": func(t *rapid.T) {
			f.now += time.Duration(rapid.IntRange(1, 6_000).Draw(t, "ms")) * time.Millisecond
		},
		"pass ttl": func(t *rapid.T) {
			f.now += TTL + time.Duration(rapid.IntRange(-1_000, 2_000).Draw(t, "ms"))*time.Millisecond
		},
		"sync": func(t *rapid.T) {
			n := node(t)
			n.view.Merge(f.register.doc, f.register.revision, 0, f.clock(n))
		},
		"collect at once": func(t *rapid.T) {
			n := node(t)
			if doc, err := n.view.CollectGarbage(f.clock(n)); err == nil {
				n.swap = &pendingSwap{doc, n.view.revision, f.clock(n)}
				f.swap(t, n)
			}
		},
		"read": func(t *rapid.T) {
			n := node(t)
			n.update = &pendingUpdate{f.register.doc, f.register.revision, 0, f.clock(n)}
		},
		"pull": func(t *rapid.T) {
			n, peer := node(t), node(t)
			doc, revision := peer.view.Document()
			n.update = &pendingUpdate{doc, revision, peer.view.Age(f.clock(peer)), f.clock(n)}
		},
		"deliver": func(t *rapid.T) {
			n := node(t)
			if n.update != nil {
				n.view.Merge(n.update.doc, n.update.revision, n.update.age+f.clock(n)-n.update.requestedAt, f.clock(n))
			}
		},
		"decide": func(t *rapid.T) { f.decide(t, node(t)) },
		"swap":   func(t *rapid.T) { f.swap(t, node(t)) },
		"":       f.check,
	}
}

// decide prepares a change based on the node's view.
func (f *fleet) decide(t *rapid.T, n *fleetNode) {
	doc, revision := n.view.Document()
	var err error
	switch rapid.IntRange(0, 4).Draw(t, "change") {
	case 0, 1:
		doc, err = Request(doc, service(8), f.floor, n.request)
	case 2:
		doc, err = Renew(doc, n.request)
	case 3:
		doc, err = Withdraw(doc, rapid.SampledFrom(f.nodes[:]).Draw(t, "withdrawn").request.Target)
	case 4:
		doc, err = n.view.CollectGarbage(f.clock(n))
	}
	if err == nil {
		n.swap = &pendingSwap{doc, revision, f.clock(n)}
	}
}

// swap writes a change to the store. The response may be lost.
func (f *fleet) swap(t *rapid.T, n *fleetNode) {
	if n.swap == nil {
		return
	}
	done := f.register.swap(n.swap.expect, n.swap.doc)
	if done && !rapid.Bool().Draw(t, "response lost") {
		n.view.Merge(n.swap.doc, f.register.revision, f.clock(n)-n.swap.sentAt, f.clock(n))
	}
	n.swap = nil
}

func (f *fleet) check(t *rapid.T) {
	if err := check(f.register.doc, service(8), f.floor); err != nil {
		t.Fatal(err)
	}
	for i, n := range f.nodes {
		for _, target := range n.view.ActiveTargets(f.clock(n)) {
			if _, ok := f.register.doc.Find(target); !ok {
				t.Fatalf("node %d enforces the ejection of %s, whose share of the floor is free", i, target)
			}
		}
	}
}

// Guards against removing more capacity than the floor allows, across all nodes and in each node's view. The nodes
// suspect different targets concurrently, pause at any point, have drifting clocks, lose responses of the store and
// receive old documents from peers.
func TestFleetKeepsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newFleet(t).actions())
	})
}

// Guards against a holder that was paused until its entry was garbage-collected and then acts on its outdated view.
func TestPausedHolder(t *testing.T) {
	targets, floor := service(8), 49
	var register register
	var paused, other View
	doc, err := Request(Document{}, targets, floor, permitRequest(0))
	if err != nil || !register.swap(0, doc) {
		t.Fatal(err)
	}
	paused.Merge(doc, 1, 0, 0)
	other.Merge(doc, 1, 0, 0)
	for _, now := range []time.Duration{retireAfter, retireAfter + collectAfter} {
		doc, err := other.CollectGarbage(now)
		if err != nil || !register.swap(register.revision, doc) {
			t.Fatalf("garbage collection at %v: %v", now, err)
		}
		other.Merge(doc, register.revision, 0, now)
	}
	after, err := Request(register.doc, targets, floor, permitRequest(1))
	if err != nil || !register.swap(register.revision, after) {
		t.Fatalf("the share was not free: %v", err)
	}
	if active := paused.ActiveTargets(TTL); len(active) != 0 {
		t.Errorf("the paused holder enforces the ejection of %v", active)
	}
	stale, revision := paused.Document()
	renewed, err := Renew(stale, permitRequest(0))
	if err != nil || register.swap(revision, renewed) {
		t.Errorf("the paused holder renewed an entry that was garbage-collected: %v", err)
	}
	if _, err := Renew(register.doc, permitRequest(0)); !errors.Is(err, ErrNoEntry) {
		t.Errorf("renewal: %v", err)
	}
	var refused *FloorError
	if _, err := Request(register.doc, targets, floor, permitRequest(0)); !errors.As(err, &refused) {
		t.Errorf("request beyond the floor: %v", err)
	}
}
