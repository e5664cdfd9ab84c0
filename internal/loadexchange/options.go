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
	// Own returns the load of the targets beside the node.
	Own func() map[model.TargetID]model.TargetLoad
	// Partners returns the nodes to send to.
	Partners func() membership.LoadReceivers
	// Learned is told the load of the targets of other nodes.
	Learned func(model.TargetID, model.TargetLoad)
	// Count is told the bytes of each datagram.
	Count func(address string, sent bool, bytes int)
	// Failed is told a datagram that could not be sent or read.
	Failed func(operation, address string, err error)
}
