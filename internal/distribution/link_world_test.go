package distribution_test

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sardinereach/sardinereach/api/peerv1"
	"github.com/sardinereach/sardinereach/internal/distribution"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/store"
)

const (
	// megabit is the number of bytes that a link of 1 Mbit/s carries in a second.
	megabit = 1e6 / 8
	// regionLinkBytes is the bandwidth of the link between two regions in one direction, in bytes a second.
	regionLinkBytes = 60 * megabit
	// windowBytes is the size of the pieces in which a message is sent. A piece is sent after the one before it has arrived.
	windowBytes = 64 << 10
	// messageBytes is what a call and its frames add to a message.
	messageBytes = 200
)

// nodeLinkBytes returns the bandwidth of the link of a node in one direction, in bytes a second.
func nodeLinkBytes(index int) float64 {
	return []float64{10, 200, 50, 20, 100}[index%5] * megabit
}

// link carries pieces one after the other.
type link struct {
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time
}

// carry returns after the link has carried the bytes behind all that it had to carry before. Pieces that were sent are
// carried, also if the context ends meanwhile.
func (l *link) carry(ctx context.Context, bytes int) {
	l.mu.Lock()
	start := time.Now()
	if l.freeAt.After(start) {
		start = l.freeAt
	}
	l.freeAt = start.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	arrival := time.Until(l.freeAt)
	l.mu.Unlock()
	pause(ctx, arrival)
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// linkWorld is a fleet whose messages and reads of the store take the time that the links need. The store is in region-0.
type linkWorld struct {
	*fleet
	up, down map[model.NodeID]*link
	// regions are the links between the two regions, by the region of the sender.
	regions map[model.Region]*link
}

func newLinkWorld(f *fleet, size int) *linkWorld {
	w := &linkWorld{
		fleet: f, up: map[model.NodeID]*link{}, down: map[model.NodeID]*link{},
		regions: map[model.Region]*link{
			"region-0": {bytesPerSecond: regionLinkBytes}, "region-1": {bytesPerSecond: regionLinkBytes},
		},
	}
	for i := range size {
		id := nodeIdentity(i).ID
		w.up[id], w.down[id] = &link{bytesPerSecond: nodeLinkBytes(i)}, &link{bytesPerSecond: nodeLinkBytes(i)}
	}
	f.options = func(o *distribution.Options) {
		o.Store = &linkedStore{Store: f.store, world: w, node: o.Self}
		o.Puller = &linkedPuller{puller: &puller{fleet: f, from: o.Self}, world: w}
		o.StoreTimeout, o.NoEjections, o.HeartbeatInterval = time.Second, true, 2*time.Second
	}
	return w
}

// send returns when the bytes have passed the links in their order, or when the context ends.
func (w *linkWorld) send(ctx context.Context, bytes int, fromRegion, toRegion model.Region, path ...*link) {
	latency := time.Millisecond
	if fromRegion != toRegion {
		latency = 20 * time.Millisecond
		path = append(path, w.regions[fromRegion])
	}
	for bytes > 0 && ctx.Err() == nil {
		piece := min(bytes, windowBytes)
		bytes -= piece
		for _, l := range path {
			l.carry(ctx, piece)
		}
		pause(ctx, latency)
		store.Progress(ctx)
	}
}

// linkedPuller is the connection of a node to its peers.
type linkedPuller struct {
	*puller
	world *linkWorld
}

func (p *linkedPuller) Pull(ctx context.Context, address string, request *peerv1.PullRequest) (*peerv1.PullResponse, error) {
	return overLinks(ctx, p, address, request, p.puller.Pull)
}

func (p *linkedPuller) Chunks(ctx context.Context, address string, request *peerv1.ChunksRequest) (*peerv1.ChunksResponse, error) {
	return overLinks(ctx, p, address, request, p.puller.Chunks)
}

// overLinks makes a call to the address whose request and response take the time that the links need.
func overLinks[Q, R proto.Message](
	ctx context.Context, p *linkedPuller, address string, request Q, call func(context.Context, string, Q) (R, error),
) (R, error) {
	var none R
	peer, ok := p.peer(address)
	if !ok {
		<-ctx.Done()
		return none, errPartitioned
	}
	p.toPeer(ctx, peer, request)
	if ctx.Err() != nil {
		return none, ctx.Err()
	}
	response, err := call(ctx, address, request)
	if err != nil {
		return none, err
	}
	p.fromPeer(ctx, peer, response)
	return response, ctx.Err()
}

func (p *linkedPuller) peer(address string) (model.Node, bool) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	node := p.fleet.nodes[address]
	if node == nil {
		return model.Node{}, false
	}
	return node.self, true
}

func (p *linkedPuller) toPeer(ctx context.Context, peer model.Node, message proto.Message) {
	p.world.send(ctx, proto.Size(message)+messageBytes, p.from.Region, peer.Region, p.world.up[p.from.ID], p.world.down[peer.ID])
}

func (p *linkedPuller) fromPeer(ctx context.Context, peer model.Node, message proto.Message) {
	p.world.send(ctx, proto.Size(message)+messageBytes, peer.Region, p.from.Region, p.world.up[peer.ID], p.world.down[p.from.ID])
}

// linkedStore is the connection of a node to the store.
type linkedStore struct {
	store.Store
	world *linkWorld
	node  model.Node
}

func (s *linkedStore) receive(ctx context.Context, kvs ...store.KV) error {
	bytes := messageBytes
	for _, kv := range kvs {
		bytes += (len(kv.Key) + len(kv.Value)) * 4 / 3
	}
	s.world.send(ctx, bytes, "region-0", s.node.Region, s.world.down[s.node.ID])
	return ctx.Err()
}

func (s *linkedStore) List(ctx context.Context, prefix string) ([]store.KV, int64, error) {
	kvs, revision, err := s.Store.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	return kvs, revision, s.receive(ctx, kvs...)
}

func (s *linkedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	changes, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	if err != nil {
		return nil, 0, err
	}
	kvs := make([]store.KV, 0, len(changes))
	for _, change := range changes {
		kvs = append(kvs, change.KV)
	}
	return changes, revision, s.receive(ctx, kvs...)
}
