package settings

import "net/netip"

// Peers configures how a node finds the fleet when the store is unavailable.
type Peers struct {
	// Seeds contains the peer listener addresses of other nodes. It may be empty.
	Seeds []netip.AddrPort
}
