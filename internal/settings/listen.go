package settings

import "net/netip"

// Listen contains the addresses of the daemon's listeners. Port 0 is valid only on a loopback address, for tests.
type Listen struct {
	// Callers serves the HTTP requests of callers.
	Callers netip.AddrPort
	// Peers serves the other nodes (drpc).
	Peers netip.AddrPort
	// Operators serves sardinereachctl (connect) and the metrics.
	Operators netip.AddrPort
	// Upstreams receives the announcements of the node's upstreams.
	Upstreams netip.AddrPort
	// Health serves only the health endpoint. An invalid address means that only the callers' listener serves it.
	Health netip.AddrPort
	// Metrics serves only the metrics. An invalid address means that only the operators' listener serves them.
	Metrics netip.AddrPort
}
