package settings

import (
	"net/netip"
	"time"
)

// Store says how the platform store is reached.
type Store struct {
	Address netip.AddrPort
	// Timeout bounds one call, waiting watches excepted.
	Timeout time.Duration
}
