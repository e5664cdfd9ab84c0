package settings

import (
	"net/netip"
	"time"
)

// Store configures the connection to the platform's store.
type Store struct {
	Address netip.AddrPort
	// Timeout bounds one call, except a watch.
	Timeout time.Duration
}
