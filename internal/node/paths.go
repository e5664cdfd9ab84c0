package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

const (
	// minPathBackoff is how long a node is avoided after the first failure of its path.
	minPathBackoff = time.Second
	// maxPathBackoff limits the backoff, which doubles with each further failure.
	maxPathBackoff = 16 * time.Second
)

// paths holds the nodes that this node cannot reach and avoids. Other nodes may still reach them: a partition can be
// one-way.
type paths struct {
	// count is the number of avoided nodes. While it is 0, requests do not take the lock.
	count atomic.Int32

	mu    sync.Mutex
	nodes map[model.NodeID]*pathState
}

type pathState struct {
	address string
	backoff time.Duration
	retryAt time.Duration
}

func newPaths() *paths { return &paths{nodes: make(map[model.NodeID]*pathState)} }

// recordFailure records a failed call to the node and reports whether the node was not avoided before.
func (p *paths) recordFailure(now time.Duration, node model.Node) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.nodes[node.ID]
	if s == nil {
		p.nodes[node.ID] = &pathState{address: node.PeerAddress, backoff: minPathBackoff, retryAt: now + minPathBackoff}
		p.count.Store(int32(len(p.nodes)))
		return true
	}
	if now >= s.retryAt {
		s.backoff = min(2*s.backoff, maxPathBackoff)
		s.retryAt = now + s.backoff
	}
	s.address = node.PeerAddress
	return false
}

// recordSuccess records a successful call to the node and reports whether the node was avoided before.
func (p *paths) recordSuccess(node model.NodeID) (changed bool) {
	if p.count.Load() == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.nodes[node]; !ok {
		return false
	}
	delete(p.nodes, node)
	p.count.Store(int32(len(p.nodes)))
	return true
}

// avoided returns the IDs of the avoided nodes.
func (p *paths) avoided() map[model.NodeID]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[model.NodeID]bool, len(p.nodes))
	for id := range p.nodes {
		out[id] = true
	}
	return out
}

// due returns the nodes whose backoff has ended, with their addresses.
func (p *paths) due(now time.Duration) map[model.NodeID]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[model.NodeID]string)
	for id, s := range p.nodes {
		if now >= s.retryAt {
			out[id] = s.address
		}
	}
	return out
}

// retain removes the nodes for which keep returns false.
func (p *paths) retain(keep func(model.NodeID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.nodes {
		if !keep(id) {
			delete(p.nodes, id)
		}
	}
	p.count.Store(int32(len(p.nodes)))
}
