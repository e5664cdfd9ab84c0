package settings

import "net/netip"

// Listen holds the addresses of the daemon's listeners. Port 0 is valid only on a loopback address, for tests.
type Listen struct {
	// Callers serves the callers' HTTP requests.
	Callers netip.AddrPort
	// Peers serves the other nodes (drpc).
	Peers netip.AddrPort
	// Operators serves sardinereachctl (connect) and the metrics.
	Operators netip.AddrPort
	// Upstreams serves the announcements of the upstreams beside the node.
	Upstreams netip.AddrPort
	// Health serves the health answer alone; an invalid address means that only the callers' listener has it.
	Health netip.AddrPort
	// Metrics serves the metrics alone; an invalid address means that only the operators' listener has them.
	Metrics netip.AddrPort
}
