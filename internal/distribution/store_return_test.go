package distribution_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

var allReturns = flag.Bool("all-returns", false, "play all outages of the tests of the store's return, also in large fleets")

// outages returns the lengths of the outages that are played, in seconds.
func outages() []int {
	if *allReturns {
		return []int{4, 9, 20, 90}
	}
	return []int{9, 90}
}

// storeReturn is an outage of the store after which only some nodes reach it and their peers again.
type storeReturn struct {
	nodes  int
	stable time.Duration
	mode   storeMode
	outage time.Duration
	// disrupt disrupts a node that is not kept, at the time lostBefore the return of the store.
	disrupt    func(*nodeFaults)
	lostBefore time.Duration
	// keep is the share of the standbys that is kept. No watcher is, and at least one standby of each domain.
	keep float64
	// lone means that only one standby of the fleet is kept.
	lone bool
}

func losePower(f *nodeFaults)    { f.cut = true; f.forgotten++ }
func staySilent(f *nodeFaults)   { f.mode = storeSilent; f.forgotten++ }
func storeReturns(f *nodeFaults) { f.mode = storeAnswers }

// String names the case of a test.
func (r storeReturn) String() string {
	return fmt.Sprintf("%d nodes, mode %d for %v, lost %v before", r.nodes, r.mode, r.outage, r.lostBefore)
}

// play fails the test if a kept node lacks a change of the moment of the return when the bound for changes holds again.
func (r storeReturn) play(t *testing.T, seed uint64) {
	runInFleet(t, func(f *fleet) {
		w := newFaultWorld(f, r.nodes, seed, activationBound, r.stable)
		kept, lost := r.split(w.running(), seed)
		for id := range w.indexes {
			w.change(id, func(n *nodeFaults) { n.mode = r.mode; n.forgotten++ })
		}
		time.Sleep(r.outage - r.lostBefore)
		for _, node := range lost {
			w.change(node.self.ID, r.disrupt)
		}
		time.Sleep(r.lostBefore)
		for _, node := range kept {
			w.change(node.self.ID, storeReturns)
		}
		f.declare("ledger", "/returned")
		took := f.waitFor(r.stable, "the change of the return", kept, hasRoute("ledger", "/returned"))
		t.Logf("active on %d nodes after %v", len(kept), took)
	})
}

// split selects the nodes that are kept and those that are lost.
func (r storeReturn) split(nodes []*testNode, seed uint64) (kept, lost []*testNode) {
	random := rand.New(rand.NewPCG(seed, 23))
	random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	keptDomains := map[model.FailureDomain]bool{}
	for _, node := range nodes {
		drawn := random.Float64() < r.keep
		if !node.Status().Watcher && (drawn || !keptDomains[node.self.Domain]) && !(r.lone && len(kept) > 0) {
			keptDomains[node.self.Domain] = true
			kept = append(kept, node)
		} else {
			lost = append(lost, node)
		}
	}
	return kept, lost
}

// Guards against standbys that pause after failed reads while the store is back and the watchers are lost.
func TestChangeAfterStoreReturnIsActiveWhileWatchersAreLost(t *testing.T) {
	t.Parallel()
	small := storeReturn{nodes: 24, stable: stableWindow, disrupt: losePower, keep: 0.3}
	large := storeReturn{nodes: 82, stable: 4 * time.Second, disrupt: losePower, keep: 0.05}
	for _, mode := range []storeMode{storeRefuses, storeSilent} {
		for _, seconds := range outages() {
			for i, lostBefore := range []time.Duration{100 * time.Millisecond, 3 * time.Second} {
				r := small
				r.mode, r.outage, r.lostBefore = mode, time.Duration(seconds)*time.Second, lostBefore
				t.Run(r.String(), func(t *testing.T) { r.play(t, uint64(seconds+i)) })
			}
		}
	}
	for _, mode := range []storeMode{storeSilent, storeRefuses} {
		for _, seconds := range []int{9, 90} {
			r := large
			r.mode, r.outage, r.lostBefore = mode, time.Duration(seconds)*time.Second, 3*time.Second
			t.Run(r.String(), func(t *testing.T) { r.play(t, uint64(seconds)) })
			if !*allReturns {
				return
			}
		}
	}
}

// Guards against standbys that pause after failed reads while the store is back and turns most nodes away, the watchers among them.
func TestChangeAfterStoreReturnIsActiveWhileWatchersAreTurnedAway(t *testing.T) {
	t.Parallel()
	cases := []storeReturn{{nodes: 24, stable: stableWindow, keep: 0.2}}
	if *allReturns {
		cases = append(cases, storeReturn{nodes: 82, stable: 4 * time.Second, keep: 0.2})
	}
	for _, r := range cases {
		for _, seconds := range []int{9, 90} {
			r.mode, r.outage, r.disrupt = storeSilent, time.Duration(seconds)*time.Second, staySilent
			t.Run(r.String(), func(t *testing.T) { r.play(t, uint64(seconds)) })
		}
	}
}

// Guards against a standby whose turn comes late after a read that hung, while the store answers no other node.
func TestChangeAfterStoreReturnIsActiveOnTheOnlyNodeThatIsAnswered(t *testing.T) {
	t.Parallel()
	play := func(outage time.Duration, seed uint64) {
		r := storeReturn{nodes: 24, stable: stableWindow, mode: storeSilent, outage: outage, disrupt: staySilent, lone: true}
		t.Run(r.String(), func(t *testing.T) { r.play(t, seed) })
	}
	for i := range 4 {
		play(90*time.Second+time.Duration(i)*700*time.Millisecond, uint64(i))
		// The store returns while the first read of the standby hangs.
		play(2250*time.Millisecond, 3)
	}
}
