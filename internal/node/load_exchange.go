package node

import (
	"net"

	"github.com/sardinereach/sardinereach/internal/events"
	"github.com/sardinereach/sardinereach/internal/loadexchange"
	"github.com/sardinereach/sardinereach/internal/model"
	"github.com/sardinereach/sardinereach/internal/peer"
)

// newLoadExchange returns an exchange that sends and receives load digests over the connection.
func (n *Node) newLoadExchange(conn net.PacketConn) *loadexchange.Exchange {
	return loadexchange.New(loadexchange.Options{
		Conn: conn, Now: n.clock.now, LocalLoads: n.admitter.loads, Peers: n.distributor.LoadReceivers, OnLoad: n.loads.update,
		OnBytes: func(address string, sent bool, bytes int) {
			n.countPeerBytes(address, peer.PurposeControl, sent, bytes)
		},
		OnError: func(operation, address string, err error) {
			n.log.Emit(events.LoadDigestFailed, events.OperationField(operation), events.AddressField(address), events.CauseField(err))
		},
	})
}

// loads returns the load of the local targets that accept requests.
func (a *admitter) loads() map[model.TargetID]model.TargetLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	loads := make(map[model.TargetID]model.TargetLoad)
	for _, t := range a.point.Targets(now) {
		load, ok := a.point.LoadOf(t.ID)
		if !ok || load.Phase != model.PhaseReady {
			continue
		}
		loads[t.ID] = model.TargetLoad{
			Free: freeSlots(load.Slots, load.InFlight, load.Queued), Wait: load.ExpectedWait, RequiredSuccesses: load.RequiredSuccesses, At: now,
		}
	}
	return loads
}

// freeSlots returns the slots that are free for a new request: none while other requests are queued.
func freeSlots(slots, inFlight, queued int) int {
	if queued > 0 {
		return 0
	}
	return max(slots-inFlight, 0)
}
