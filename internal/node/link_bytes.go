package node

import (
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/metrics"
	"github.com/sardinereach/sardinereach/internal/peer"
)

// countPeerBytes counts the bytes on connections to other nodes.
func (n *Node) countPeerBytes(address, purpose string, sent bool, bytes int) {
	direction := metrics.Received
	if sent {
		direction = metrics.Sent
	}
	n.metrics.LinkBytes(purposeOf(purpose, n.isRemote(address)), direction, int64(bytes))
}

func purposeOf(purpose string, remote bool) metrics.Purpose {
	switch {
	case purpose == peer.PurposeTraffic && remote:
		return metrics.PurposeForwardRegion
	case purpose == peer.PurposeTraffic:
		return metrics.PurposeForward
	case remote:
		return metrics.PurposeExchangeRegion
	}
	return metrics.PurposeExchange
}

// isRemote reports whether the address is that of a node in another region.
func (n *Node) isRemote(address string) bool {
	remote := n.remote.Load()
	return remote != nil && (*remote)[address]
}

// noteRemote keeps the addresses of the nodes in other regions.
func (n *Node) noteRemote(members *membership.Snapshot) {
	remote := make(map[string]bool)
	for _, member := range members.Members {
		if member.Record.Region != n.self.Region {
			remote[member.Record.PeerAddress] = true
		}
	}
	n.remote.Store(&remote)
}
