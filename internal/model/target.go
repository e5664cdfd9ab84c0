package model

import "time"

// Target is the state of one target as its admitting node reports it.
type Target struct {
	ID      TargetID
	Service ServiceName
	// Address is host:port of the upstream, reachable from its own node.
	Address string
	// Slots is the number of requests that the upstream runs at a time.
	Slots int
	// RampSlots is the number of slots that the cold-start ramp gives at present, at most Slots.
	RampSlots int
	// Cold means that the target has just started and is slow.
	Cold     bool
	InFlight int
	Queued   int
	Phase    Phase
	// Suspected means that the detector of the admitting node holds the target to be failing.
	Suspected bool
	// BreakerHalfOpen means that the last runs at the target failed or took too long.
	BreakerHalfOpen bool
	// InTrial means that the suspected target may get a few idempotent requests as trials.
	InTrial bool
	// Missing means that the upstream has not announced itself in time.
	Missing bool
	// Successes and Failures count outcomes of real work since the node's start.
	Successes uint64
	Failures  uint64
	// Report is the evidence of the admitting node's detector, in JSON, for the detectors of the service's other targets.
	Report string
	// FirstByte is the smoothed time to first byte, 0 if no request was answered yet.
	FirstByte time.Duration
}

// AcceptsRequests reports whether the announced phase lets new work in.
func (t Target) AcceptsRequests() bool { return t.Phase == PhaseReady }
