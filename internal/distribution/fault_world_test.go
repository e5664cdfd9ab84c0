package distribution_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing/synctest"
	"time"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
)

// storeMode is how the store treats the calls of a node.
type storeMode int

const (
	storeAnswers storeMode = iota
	storeRefuses
	storeSilent
)

// nodeFaults are the faults of one node. faultWorld.mu guards them.
type nodeFaults struct {
	mode storeMode
	// cut means that nothing reaches or leaves the node.
	cut bool
	// lossy is the share of the node's pulls and probes that get no answer.
	lossy float64
	// forgotten counts how often the store forgot the pending calls of the node.
	forgotten int
}

// interval is a time span of a disruption, as time since the start of the trial.
type interval struct{ from, until time.Duration }

// faultWorld is a fleet whose nodes and store fail at times that a seed selects.
type faultWorld struct {
	*fleet
	bound, stable time.Duration
	// starting serializes the starts of nodes.
	starting sync.Mutex

	mu     sync.Mutex
	random *rand.Rand
	faults map[model.NodeID]*nodeFaults
	// indexes are the indexes of the nodes by ID.
	indexes map[model.NodeID]int
}

func newFaultWorld(f *fleet, size int, seed uint64, bound, stable time.Duration) *faultWorld {
	w := &faultWorld{
		fleet: f, bound: bound, stable: stable, random: rand.New(rand.NewPCG(seed, 20)),
		faults: map[model.NodeID]*nodeFaults{}, indexes: map[model.NodeID]int{},
	}
	f.options = func(o *distribution.Options) {
		o.Store = &worldStore{Store: f.store, world: w, node: o.Self.ID}
		o.Puller = &worldPuller{puller: &puller{fleet: f, from: o.Self}, world: w}
		o.StoreTimeout, o.NoEjections, o.HeartbeatInterval = time.Second, true, 2*time.Second
	}
	for i := range size {
		id := nodeIdentity(i).ID
		w.faults[id], w.indexes[id] = &nodeFaults{}, i
	}
	f.declare("ledger", versionPath(0))
	f.startSettled(size)
	return w
}

func versionPath(version int) string { return fmt.Sprintf("/v%d", version) }

// change updates the faults of a node.
func (w *faultWorld) change(id model.NodeID, update func(*nodeFaults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	update(w.faults[id])
}

func (w *faultWorld) faultsOf(id model.NodeID) nodeFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return *w.faults[id]
}

// travel waits for a random one-way delay, or until ctx ends.
func (w *faultWorld) travel(ctx context.Context) {
	w.mu.Lock()
	delay := time.Millisecond + time.Duration(w.random.Float64()*float64(20*time.Millisecond))
	w.mu.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (w *faultWorld) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < p
}

// worldStore is the connection of a node to the store.
type worldStore struct {
	store.Store
	world *faultWorld
	node  model.NodeID
}

// reach waits for the delay of a call and returns an error if the store does not take it.
func (s *worldStore) reach(ctx context.Context) error {
	s.world.travel(ctx)
	faults := s.world.faultsOf(s.node)
	switch {
	case faults.cut, faults.mode == storeSilent, s.world.chance(faults.lossy):
		<-ctx.Done()
		return store.ErrUnavailable
	case faults.mode == storeRefuses:
		return store.ErrUnavailable
	}
	return nil
}

// answered waits for the delay of the answer. It does not arrive if the store forgot the call meanwhile.
func (s *worldStore) answered(ctx context.Context, forgotten int) error {
	s.world.travel(ctx)
	faults := s.world.faultsOf(s.node)
	if faults.forgotten != forgotten || faults.cut || faults.mode != storeAnswers {
		<-ctx.Done()
		return store.ErrUnavailable
	}
	return nil
}

func (s *worldStore) List(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	forgotten := s.world.faultsOf(s.node).forgotten
	if err := s.reach(ctx); err != nil {
		return nil, 0, err
	}
	kvs, revision, err := s.Store.List(ctx, prefix)
	if late := s.answered(ctx, forgotten); late != nil {
		return nil, 0, late
	}
	return kvs, revision, err
}

func (s *worldStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	forgotten := s.world.faultsOf(s.node).forgotten
	if err := s.reach(ctx); err != nil {
		return nil, 0, err
	}
	changes, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	if late := s.answered(ctx, forgotten); late != nil {
		return nil, 0, late
	}
	return changes, revision, err
}

func (s *worldStore) CompareAndSwap(
	ctx context.Context, key string, expect int64, value []byte, lease store.LeaseID,
) (store.KV, error) {
	faults := s.world.faultsOf(s.node)
	switch {
	case faults.cut, faults.mode == storeSilent:
		<-ctx.Done()
		return store.KV{}, store.ErrUnknownOutcome
	case faults.mode == storeRefuses:
		return store.KV{}, store.ErrUnavailable
	}
	return s.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

func (s *worldStore) Ping(ctx context.Context, key string) error {
	forgotten := s.world.faultsOf(s.node).forgotten
	if err := s.reach(ctx); err != nil {
		return err
	}
	if late := s.answered(ctx, forgotten); late != nil {
		return late
	}
	return s.Store.Ping(ctx, key)
}

// worldPuller is the connection of a node to its peers.
type worldPuller struct {
	*puller
	world *faultWorld
}

func (p *worldPuller) Pull(ctx context.Context, address string, request *peerv1.PullRequest) (*peerv1.PullResponse, error) {
	return overFaultyLinks(ctx, p, address, func() (*peerv1.PullResponse, error) { return p.puller.Pull(ctx, address, request) })
}

func (p *worldPuller) Chunks(ctx context.Context, address string, request *peerv1.ChunksRequest) (*peerv1.ChunksResponse, error) {
	return overFaultyLinks(ctx, p, address, func() (*peerv1.ChunksResponse, error) { return p.puller.Chunks(ctx, address, request) })
}

// overFaultyLinks makes a call to the address whose request or response may be lost.
func overFaultyLinks[R any](ctx context.Context, p *worldPuller, address string, call func() (*R, error)) (*R, error) {
	p.world.travel(ctx)
	if p.isLost(address) {
		<-ctx.Done()
		return nil, errPartitioned
	}
	response, err := call()
	p.world.travel(ctx)
	if err == nil && p.isLost(address) {
		<-ctx.Done()
		return nil, errPartitioned
	}
	return response, err
}

func (p *worldPuller) isLost(address string) bool {
	own := p.world.faultsOf(p.from.ID)
	p.fleet.mu.Lock()
	peer := p.fleet.nodes[address]
	p.fleet.mu.Unlock()
	if peer == nil {
		return true
	}
	other := p.world.faultsOf(peer.self.ID)
	return own.cut || other.cut || p.world.chance(own.lossy) || p.world.chance(other.lossy)
}

// running returns the nodes that are started, in a fixed order.
func (w *faultWorld) running() []*testNode {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	nodes := make([]*testNode, 0, len(w.nodes))
	for _, node := range w.nodes {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b *testNode) int { return w.indexes[a.self.ID] - w.indexes[b.self.ID] })
	return nodes
}

// restart stops the node, unless another fault has stopped it, and starts it again after the given time. With clockBack its
// new incarnation is lower.
func (w *faultWorld) restart(node *testNode, after time.Duration, clockBack bool) {
	w.fleet.mu.Lock()
	running := w.nodes[node.self.PeerAddress] == node
	w.fleet.mu.Unlock()
	if !running {
		return
	}
	w.fleet.stop(node)
	time.Sleep(after)
	w.starting.Lock()
	defer w.starting.Unlock()
	newest := w.fleet.incarnation
	if clockBack {
		w.fleet.incarnation = max(0, node.self.Incarnation-2)
	}
	w.fleet.start(w.indexes[node.self.ID], w.seedOf(node))
	w.fleet.incarnation = max(newest, w.fleet.incarnation)
}

// seedOf returns the address of another node of the same domain.
func (w *faultWorld) seedOf(node *testNode) string {
	for _, other := range w.running() {
		if other.self.Domain == node.self.Domain && other.self.ID != node.self.ID {
			return other.self.PeerAddress
		}
	}
	return ""
}

// settle ends all faults and waits until the fleet is calm.
func (w *faultWorld) settle() {
	for id := range w.indexes {
		w.change(id, func(f *nodeFaults) { *f = nodeFaults{forgotten: f.forgotten} })
	}
	time.Sleep(25 * time.Second)
	synctest.Wait()
}
