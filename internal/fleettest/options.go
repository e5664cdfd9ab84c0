package fleettest

import "time"

// Options describes a fleet to start.
type Options struct {
	Layout   Layout
	Binaries *Binaries
	// Dir takes settings, logs and run logs.
	Dir string
	// ColdStart is how long upstreams announce that they are starting.
	ColdStart time.Duration
	// Relays puts a relay in front of each daemon's listener for peers. It needs binaries built with the relayed daemon.
	Relays bool
	// Settings overrides or adds settings of every daemon, by section and key.
	Settings map[string]map[string]string
}
