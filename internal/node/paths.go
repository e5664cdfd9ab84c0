package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

const (
	// pathAvoidMin is how long a node is avoided after the first failure of the path to it.
	pathAvoidMin = time.Second
	// pathAvoidMax bounds the time, which doubles with each further failure.
	pathAvoidMax = 16 * time.Second
)

// paths keeps the nodes to which this node has no working path. Others may reach them: a partition can be one-way.
type paths struct {
	// count is the number of avoided nodes. It keeps the lock off the path of a request while there is none.
	count atomic.Int32

	mu    sync.Mutex
	nodes map[model.NodeID]*pathState
}

type pathState struct {
	address string
	avoid   time.Duration
	until   time.Duration
}

func newPaths() *paths { return &paths{nodes: make(map[model.NodeID]*pathState)} }

// failed notes a failure and reports whether the node was in use until now.
func (p *paths) failed(now time.Duration, node model.Node) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.nodes[node.ID]
	if s == nil {
		p.nodes[node.ID] = &pathState{address: node.PeerAddress, avoid: pathAvoidMin, until: now + pathAvoidMin}
		p.count.Store(int32(len(p.nodes)))
		return true
	}
	if now >= s.until {
		s.avoid = min(2*s.avoid, pathAvoidMax)
		s.until = now + s.avoid
	}
	s.address = node.PeerAddress
	return false
}

// worked notes that a call to the node succeeded and reports whether the node was avoided until now.
func (p *paths) worked(node model.NodeID) (changed bool) {
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

// avoided returns the nodes that are avoided.
func (p *paths) avoided() map[model.NodeID]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[model.NodeID]bool, len(p.nodes))
	for id := range p.nodes {
		out[id] = true
	}
	return out
}

// due returns the nodes whose path should be tried again, with their addresses.
func (p *paths) due(now time.Duration) map[model.NodeID]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[model.NodeID]string)
	for id, s := range p.nodes {
		if now >= s.until {
			out[id] = s.address
		}
	}
	return out
}

// retain forgets nodes that keep returns false for.
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
