// Package fleettest starts whole fleets as real processes on loopback addresses: the store stand-in, daemons and upstream
// stand-ins. Tests and examples use it. Nothing in it is part of a daemon.
//
// Each VM of a fleet has a loopback address of its own, so that ports of one fleet never meet those of another.
package fleettest
