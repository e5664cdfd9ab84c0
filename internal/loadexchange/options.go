package loadexchange

import (
	"net"
	"time"

	"github.com/sardinereach/sardinereach/internal/membership"
	"github.com/sardinereach/sardinereach/internal/model"
)

// Options are what an Exchange works with. All are needed.
type Options struct {
	Conn net.PacketConn
	// Now is the node's monotonic clock.
	Now func() time.Duration
	// LocalLoads returns the load of the targets beside the node.
	LocalLoads func() map[model.TargetID]model.TargetLoad
	// Peers returns the nodes to send to.
	Peers func() membership.LoadPartners
	// OnLoad is told the load of the targets of other nodes.
	OnLoad func(model.TargetID, model.TargetLoad)
	// OnBytes is told the bytes of each datagram.
	OnBytes func(address string, sent bool, bytes int)
	// OnError is told a datagram that could not be sent or read.
	OnError func(operation, address string, err error)
}
