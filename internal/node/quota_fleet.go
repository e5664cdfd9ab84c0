package node

import (
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// quotaFleet is what the quotas need to know of the fleet.
type quotaFleet struct {
	// members are the nodes among which each limit is divided, lost ones included: they may still use their parts.
	members []model.NodeID
	// addresses are the peer addresses of the nodes that answer, this node included.
	addresses map[model.NodeID]string
	// eligible are those of them that do not stop. Quotas are lent to one of them.
	eligible []model.NodeID
}

// quotaFleet returns the fleet as this node knows it now.
func (n *Node) quotaFleet() quotaFleet {
	self := n.self.ID
	fleet := quotaFleet{
		members: []model.NodeID{self}, addresses: map[model.NodeID]string{self: n.self.PeerAddress}, eligible: []model.NodeID{self},
	}
	members := n.distributor.Snapshot().Members
	if members == nil {
		return fleet
	}
	avoided := n.paths.avoided()
	for id, member := range members.Members {
		if id == self {
			continue
		}
		fleet.members = append(fleet.members, id)
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
