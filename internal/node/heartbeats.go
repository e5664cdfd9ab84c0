package node

import (
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// heartbeats records when the heartbeat counter of each node last increased. Responses to operators report the age.
type heartbeats struct {
	mu    sync.Mutex
	nodes map[model.NodeID]observedHeartbeat
}

type observedHeartbeat struct {
	incarnation model.Incarnation
	heartbeat   uint64
	at          time.Duration
}

func newHeartbeats() *heartbeats { return &heartbeats{nodes: make(map[model.NodeID]observedHeartbeat)} }

// record compares the heartbeat counters of the members with the recorded ones and sets the time of those that increased.
func (h *heartbeats) record(now time.Duration, members *membership.Snapshot) {
	if members == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, member := range members.Members {
		last := h.nodes[id]
		if last.incarnation != member.Record.Incarnation || last.heartbeat < member.Heartbeat || last.at == 0 {
			h.nodes[id] = observedHeartbeat{incarnation: member.Record.Incarnation, heartbeat: member.Heartbeat, at: now}
		}
	}
	for id := range h.nodes {
		if _, ok := members.Members[id]; !ok {
			delete(h.nodes, id)
		}
	}
}

// age returns the time since the node's heartbeat counter last increased, 0 for a node that was never recorded.
func (h *heartbeats) age(now time.Duration, id model.NodeID) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	last, ok := h.nodes[id]
	if !ok {
		return 0
	}
	return now - last.at
}
