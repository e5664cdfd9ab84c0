package node

import (
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// quotaFleet is what the quotas need to know of the fleet.
type quotaFleet struct {
	// divisor is the number of nodes among which each limit is divided, lost ones included: they may still use their parts.
	divisor int
	// addresses are the peer addresses of the nodes that answer, this node included.
	addresses map[model.NodeID]string
	// eligible are those of them that do not stop. Quotas are lent to one of them.
	eligible []model.NodeID
}

// quotaFleet returns the fleet as this node knows it now.
func (n *Node) quotaFleet() quotaFleet {
	fleet := quotaFleet{
		divisor: 1, addresses: map[model.NodeID]string{n.self.ID: n.self.PeerAddress}, eligible: []model.NodeID{n.self.ID},
	}
	members := n.distributor.Snapshot().Members
	if members == nil {
		return fleet
	}
	avoided := n.paths.avoided()
	for id, member := range members.Members {
		if id == n.self.ID {
			continue
		}
		fleet.divisor++
		if member.State != membership.Alive || avoided[id] {
			continue
		}
		fleet.addresses[id] = member.Record.PeerAddress
		if !member.Record.Stopping {
			fleet.eligible = append(fleet.eligible, id)
		}
	}
	return fleet
}
