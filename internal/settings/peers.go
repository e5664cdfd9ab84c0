package settings

import "net/netip"

// Peers says how a node finds the fleet when the store is down.
type Peers struct {
	// Seeds are the peer listeners of other nodes. It may be empty.
	Seeds []netip.AddrPort
}
