package fleettest

import "time"

// Options describes a fleet to start.
type Options struct {
	Layout   Layout
	Binaries *Binaries
	// Dir is the directory for settings files, logs and run logs.
	Dir string
	// ColdStart is how long upstreams announce the phase "starting".
	ColdStart time.Duration
	// Relays starts a relay in front of each daemon's listener for peers. Binaries must include the relayed daemon.
	Relays bool
	// Settings overrides or adds settings of every daemon, by section and key.
	Settings map[string]map[string]string
}
