package eject

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	fleetNodes = 4
	// greatestDrift is the greatest deviation of a node's clock rate.
	greatestDrift = 0.01
)

// letter is a document on its way to a node.
type letter struct {
	doc      Document
	revision int64
	// age is the age at the sender; sent is the receiver's time when it asked.
	age, sent time.Duration
}

// swap is a change that a node has decided on and that the store has not seen yet.
type swap struct {
	doc    Document
	expect int64
	sent   time.Duration
}

// fleetNode is a node with its own clock. A node without actions for a while is a paused node.
type fleetNode struct {
	ask    Ask
	offset time.Duration
	rate   float64
	view   View
	letter *letter
	swap   *swap
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
			ask:    ask(i),
			offset: time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Second,
			rate:   rapid.SampledFrom([]float64{1 - greatestDrift, 1, 1 + greatestDrift}).Draw(t, "rate"),
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
			n.view.Learn(f.register.doc, f.register.revision, 0, f.clock(n))
		},
		"collect at once": func(t *rapid.T) {
			n := node(t)
			if doc, err := n.view.Collect(f.clock(n)); err == nil {
				n.swap = &swap{doc, n.view.revision, f.clock(n)}
				f.swap(t, n)
			}
		},
		"read": func(t *rapid.T) {
			n := node(t)
			n.letter = &letter{f.register.doc, f.register.revision, 0, f.clock(n)}
		},
		"pull": func(t *rapid.T) {
			n, peer := node(t), node(t)
			doc, revision := peer.view.Document()
			n.letter = &letter{doc, revision, peer.view.Age(f.clock(peer)), f.clock(n)}
		},
		"deliver": func(t *rapid.T) {
			n := node(t)
			if n.letter != nil {
				n.view.Learn(n.letter.doc, n.letter.revision, n.letter.age+f.clock(n)-n.letter.sent, f.clock(n))
			}
		},
		"decide": func(t *rapid.T) { f.decide(t, node(t)) },
		"swap":   func(t *rapid.T) { f.swap(t, node(t)) },
		"":       f.check,
	}
}

// decide prepares a change from what the node knows.
func (f *fleet) decide(t *rapid.T, n *fleetNode) {
	doc, revision := n.view.Document()
	var err error
	switch rapid.IntRange(0, 4).Draw(t, "change") {
	case 0, 1:
		doc, err = Request(doc, service(8), f.floor, n.ask)
	case 2:
		doc, err = Renew(doc, n.ask)
	case 3:
		doc, err = Withdraw(doc, rapid.SampledFrom(f.nodes[:]).Draw(t, "withdrawn").ask.Target)
	case 4:
		doc, err = n.view.Collect(f.clock(n))
	}
	if err == nil {
		n.swap = &swap{doc, revision, f.clock(n)}
	}
}

// swap lets the store see a change. The answer may be lost.
func (f *fleet) swap(t *rapid.T, n *fleetNode) {
	if n.swap == nil {
		return
	}
	done := f.register.swap(n.swap.expect, n.swap.doc)
	if done && !rapid.Bool().Draw(t, "answer lost") {
		n.view.Learn(n.swap.doc, f.register.revision, f.clock(n)-n.swap.sent, f.clock(n))
	}
	n.swap = nil
}

func (f *fleet) check(t *rapid.T) {
	if err := check(f.register.doc, service(8), f.floor); err != nil {
		t.Fatal(err)
	}
	for i, n := range f.nodes {
		for _, target := range n.view.Honoured(f.clock(n)) {
			if _, ok := f.register.doc.Find(target); !ok {
				t.Fatalf("node %d honours %s, whose share of the floor is free", i, target)
			}
		}
	}
}

// Guards against more removed capacity than the floor allows, over all nodes together and in each node's view, with
// nodes that suspect different targets at once, pause at any point, have drifting clocks, lose answers of the store and
// get old documents from peers.
func TestFleetKeepsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newFleet(t).actions())
	})
}

// Guards against a holder that was paused until its entry was collected and then acts on what it knew.
func TestPausedHolder(t *testing.T) {
	targets, floor := service(8), 49
	var register register
	var paused, other View
	doc, err := Request(Document{}, targets, floor, ask(0))
	if err != nil || !register.swap(0, doc) {
		t.Fatal(err)
	}
	paused.Learn(doc, 1, 0, 0)
	other.Learn(doc, 1, 0, 0)
	for _, now := range []time.Duration{retireAfter, retireAfter + collectAfter} {
		doc, err := other.Collect(now)
		if err != nil || !register.swap(register.revision, doc) {
			t.Fatalf("collect at %v: %v", now, err)
		}
		other.Learn(doc, register.revision, 0, now)
	}
	after, err := Request(register.doc, targets, floor, ask(1))
	if err != nil || !register.swap(register.revision, after) {
		t.Fatalf("the share was not free: %v", err)
	}
	if honoured := paused.Honoured(TTL); len(honoured) != 0 {
		t.Errorf("the paused holder honours %v", honoured)
	}
	stale, revision := paused.Document()
	renewed, err := Renew(stale, ask(0))
	if err != nil || register.swap(revision, renewed) {
		t.Errorf("the paused holder renewed an entry that was collected: %v", err)
	}
	if _, err := Renew(register.doc, ask(0)); !errors.Is(err, ErrNoEntry) {
		t.Errorf("renewal: %v", err)
	}
	var refused *FloorError
	if _, err := Request(register.doc, targets, floor, ask(0)); !errors.As(err, &refused) {
		t.Errorf("request beyond the floor: %v", err)
	}
}
