package node

import (
	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/metrics"
	"github.com/sardinereach/sardinereach/internal/peer"
)

// countPeerBytes adds bytes on a connection to another node to the metrics.
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
	remote := n.remoteAddresses.Load()
	return remote != nil && (*remote)[address]
}

// updateRemoteAddresses publishes the peer addresses of the nodes in other regions.
func (n *Node) updateRemoteAddresses(members *membership.Snapshot) {
	remote := make(map[string]bool)
	for _, member := range members.Members {
		if member.Record.Region != n.self.Region {
			remote[member.Record.PeerAddress] = true
		}
	}
	n.remoteAddresses.Store(&remote)
}
