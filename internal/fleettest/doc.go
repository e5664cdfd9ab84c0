// Package fleettest starts complete fleets as real processes on loopback addresses: a fake store, daemons and fake
// upstreams. Tests, benchmarks and examples use it. Nothing in it is part of a daemon.
//
// Each VM of a fleet has its own loopback address, so the ports of different fleets do not collide.
package fleettest
