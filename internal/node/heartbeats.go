package node

import (
	"sync"
	"time"

	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// heartbeats keeps when the heartbeat of each node was last seen to grow, for the freshness of operators' answers.
type heartbeats struct {
	mu    sync.Mutex
	nodes map[model.NodeID]heardHeartbeat
}

type heardHeartbeat struct {
	incarnation model.Incarnation
	heartbeat   uint64
	at          time.Duration
}

func newHeartbeats() *heartbeats { return &heartbeats{nodes: make(map[model.NodeID]heardHeartbeat)} }

// note compares the members' heartbeats with those seen before.
func (h *heartbeats) note(now time.Duration, members *membership.Snapshot) {
	if members == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, member := range members.Members {
		heard := h.nodes[id]
		if heard.incarnation != member.Record.Incarnation || heard.heartbeat < member.Heartbeat || heard.at == 0 {
			h.nodes[id] = heardHeartbeat{incarnation: member.Record.Incarnation, heartbeat: member.Heartbeat, at: now}
		}
	}
	for id := range h.nodes {
		if _, ok := members.Members[id]; !ok {
			delete(h.nodes, id)
		}
	}
}

// age returns the time since the node's heartbeat grew, 0 for a node that was never noted.
func (h *heartbeats) age(now time.Duration, id model.NodeID) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	heard, ok := h.nodes[id]
	if !ok {
		return 0
	}
	return now - heard.at
}
