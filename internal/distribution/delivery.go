package distribution

import "time"

// delivery is the call that delivered documents to this node, for the log.
type delivery struct {
	// address is that of the peer, "" for the store.
	address string
	// startedAt is the time at which the call started, answeredAt that at which its response was received.
	startedAt, answeredAt time.Duration
}

// received returns the delivery by a call to the address that started at startedAt and has just returned.
func (d *Distributor) received(address string, startedAt time.Duration) delivery {
	return delivery{address: address, startedAt: startedAt, answeredAt: d.options.Now()}
}
