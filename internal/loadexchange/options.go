package loadexchange

import (
	"net"
	"time"

	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Options configures an Exchange. All fields are required.
type Options struct {
	Conn net.PacketConn
	// Now is the node's monotonic clock.
	Now func() time.Duration
	// LocalLoads returns the load of the local targets.
	LocalLoads func() map[model.TargetID]model.TargetLoad
	// Peers returns the nodes that receive load digests.
	Peers func() membership.LoadReceivers
	// OnLoad is called with each load update of a target of another node.
	OnLoad func(model.TargetID, model.TargetLoad)
	// OnBytes is called with the size of each datagram that was sent or received.
	OnBytes func(address string, sent bool, bytes int)
	// OnError is called if a datagram could not be sent, received, encoded or decoded.
	OnError func(operation, address string, err error)
}
