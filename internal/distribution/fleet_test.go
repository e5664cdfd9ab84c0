package distribution_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/declaration"
	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/fakestore"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
)

var errPartitioned = errors.New("no route to the peer")

// fleet is a set of distributors in one synctest bubble, connected by an in-memory network.
type fleet struct {
	t     testing.TB
	store *fakestore.Store
	mu    sync.Mutex
	nodes map[string]*testNode
	// partitioned reports whether a pull from one node to another fails.
	partitioned  func(from, to model.Node) bool
	pulls, bytes atomic.Int64
	remoteBytes  atomic.Int64
	// reads counts the reads of the store by the test itself.
	reads       int
	incarnation model.Incarnation
	options     func(*distribution.Options)
}

type testNode struct {
	*distribution.Distributor
	self   model.Node
	stop   context.CancelFunc
	events *eventLog
}

// eventLog counts the events of a node.
type eventLog struct {
	mu     sync.Mutex
	counts map[distribution.EventKind]int
}

func (l *eventLog) report(event distribution.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[event.Kind]++
}

func (l *eventLog) count(kind distribution.EventKind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[kind]
}

// runInFleet runs test in a bubble with fake time and stops all nodes at its end.
func runInFleet(t *testing.T, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		t.Cleanup(f.stopAll)
		test(f)
	})
}

func newFleet(t testing.TB) *fleet {
	return &fleet{
		t:           t,
		store:       fakestore.New(fakestore.Options{}),
		nodes:       map[string]*testNode{},
		partitioned: func(_, _ model.Node) bool { return false },
		options:     func(*distribution.Options) {},
	}
}

// nodeIdentity returns the identity of the index-th node. The nodes are assigned round-robin to four domains in two
// regions.
func nodeIdentity(index int) model.Node {
	domain := index % 4
	return model.Node{
		ID:          model.NodeID(fmt.Sprintf("node-%d", index)),
		Region:      model.Region(fmt.Sprintf("region-%d", domain/2)),
		Domain:      model.FailureDomain(fmt.Sprintf("domain-%d", domain)),
		PeerAddress: fmt.Sprintf("10.0.0.%d:7000", index),
	}
}

func (f *fleet) start(index int, seeds ...string) *testNode {
	node := f.newNode(index, seeds...)
	ctx, stop := context.WithCancel(context.Background())
	node.stop = stop
	f.mu.Lock()
	f.nodes[node.self.PeerAddress] = node
	f.mu.Unlock()
	go node.Run(ctx)
	return node
}

func (f *fleet) newNode(index int, seeds ...string) *testNode {
	self := nodeIdentity(index)
	f.incarnation++
	self.Incarnation = f.incarnation
	events := &eventLog{counts: map[distribution.EventKind]int{}}
	options := distribution.Options{
		Self: self, Store: f.store, Puller: &puller{fleet: f, from: self}, Seeds: seeds,
		Seed: uint64(index), Report: events.report,
	}
	f.options(&options)
	d, err := distribution.New(options)
	if err != nil {
		f.t.Fatal(err)
	}
	return &testNode{Distributor: d, self: self, events: events}
}

func (f *fleet) startMany(count int) []*testNode {
	nodes := make([]*testNode, count)
	for i := range nodes {
		nodes[i] = f.start(i)
	}
	return nodes
}

func (f *fleet) stop(node *testNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node.stop()
	delete(f.nodes, node.self.PeerAddress)
}

func (f *fleet) stopAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, node := range f.nodes {
		node.stop()
	}
}

func (f *fleet) partition(separated func(from, to model.Node) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = separated
}

func (f *fleet) heal() { f.partition(func(_, _ model.Node) bool { return false }) }

func (f *fleet) storeDown(down bool) { f.store.SetFaults(fakestore.Faults{Down: down}) }

// declare writes a service whose only route has the path and returns its revision.
func (f *fleet) declare(name, path string) int64 {
	service := declaration.Service{Name: model.ServiceName(name), Routes: []declaration.Route{{Path: path}}}
	value, err := service.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	return f.put("config/services/"+name, value)
}

func (f *fleet) put(key string, value []byte) int64 {
	current, _ := f.store.Get(context.Background(), key)
	kv, err := f.store.CompareAndSwap(context.Background(), key, current.Revision, value, 0)
	if err != nil {
		f.t.Fatal(err)
	}
	return kv.Revision
}

func (f *fleet) remove(key string) {
	current, err := f.store.Get(context.Background(), key)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := f.store.CompareAndDelete(context.Background(), key, current.Revision); err != nil {
		f.t.Fatal(err)
	}
}

// waitFor advances the fake time until check returns true for all nodes, and fails the test after limit.
func (f *fleet) waitFor(limit time.Duration, what string, nodes []*testNode, check func(*testNode) bool) time.Duration {
	f.t.Helper()
	const step = 100 * time.Millisecond
	for waited := time.Duration(0); ; waited += step {
		synctest.Wait()
		unmet := 0
		for _, node := range nodes {
			if !check(node) {
				unmet++
			}
		}
		if unmet == 0 {
			return waited
		}
		if waited >= limit {
			f.t.Fatalf("after %v of fake time, %d of %d nodes do not meet the condition: %s", limit, unmet, len(nodes), what)
		}
		time.Sleep(step)
	}
}

func ready(node *testNode) bool { return node.Ready() }

func hasRoute(service, path string) func(*testNode) bool {
	return func(node *testNode) bool {
		s := node.Snapshot().Config.Services[model.ServiceName(service)]
		return s != nil && s.Routes[0].Path == path
	}
}

func lacksService(service string) func(*testNode) bool {
	return func(node *testNode) bool {
		return node.Snapshot().Config.Services[model.ServiceName(service)] == nil
	}
}

func hasLiveMembers(count int) func(*testNode) bool {
	return func(node *testNode) bool { return node.Snapshot().Members.Live() == count }
}

// puller is the network connection of one node.
type puller struct {
	fleet *fleet
	from  model.Node
}

func (p *puller) Pull(
	ctx context.Context, address string, request *peerv1.PullRequest,
) (*peerv1.PullResponse, error) {
	node, err := p.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	response := node.HandlePull(request)
	p.fleet.pulls.Add(1)
	p.count(node, proto.Size(request)+proto.Size(response))
	return response, nil
}

func (p *puller) Chunks(
	ctx context.Context, address string, request *peerv1.ChunksRequest,
) (*peerv1.ChunksResponse, error) {
	node, err := p.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	response := node.HandleChunks(request)
	p.count(node, proto.Size(request)+proto.Size(response))
	return response, nil
}

// reach returns the node at the address, or an error at the end of ctx if nothing reaches it.
func (p *puller) reach(ctx context.Context, address string) (*testNode, error) {
	p.fleet.mu.Lock()
	node := p.fleet.nodes[address]
	partitioned := node == nil || p.fleet.partitioned(p.from, node.self)
	p.fleet.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return nil, errors.Wrap(errPartitioned, address)
	}
	return node, nil
}

// count adds the bytes of a call to the node.
func (p *puller) count(node *testNode, bytes int) {
	p.fleet.bytes.Add(int64(bytes))
	if node.self.Region != p.from.Region {
		p.fleet.remoteBytes.Add(int64(bytes))
	}
}

var _ store.Store = (*fakestore.Store)(nil)
