package node

import (
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// quotaFleet is what the quotas need to know of the fleet.
type quotaFleet struct {
	// members are the nodes among which each limit is divided, lost ones included: they may still use their parts.
	members []model.NodeID
	// addresses are the peer addresses of the nodes that are alive, this node included.
	addresses map[model.NodeID]string
	// eligible are those of them that do not stop. Quotas are lent to one of them.
	eligible []model.NodeID
	// avoided are the nodes to which any call has failed. Parts are not lent to them anew, but a loan is not ended for it.
	avoided map[model.NodeID]bool
}

// quotaFleet returns the fleet as this node knows it now.
func (n *Node) quotaFleet() quotaFleet {
	return newQuotaFleet(n.self, n.distributor.Snapshot().Members, n.paths.avoided())
}

// newQuotaFleet returns the fleet of the members, nil if there are none yet.
func newQuotaFleet(node model.Node, members *membership.Snapshot, avoided map[model.NodeID]bool) quotaFleet {
	self := node.ID
	fleet := quotaFleet{
		members: []model.NodeID{self}, addresses: map[model.NodeID]string{self: node.PeerAddress}, eligible: []model.NodeID{self},
		avoided: avoided,
	}
	if members == nil {
		return fleet
	}
	for id, member := range members.Members {
		if id == self {
			continue
		}
		fleet.members = append(fleet.members, id)
		if member.State != membership.Alive {
			continue
		}
		fleet.addresses[id] = member.Record.PeerAddress
		if !member.Record.Stopping {
			fleet.eligible = append(fleet.eligible, id)
		}
	}
	return fleet
}
