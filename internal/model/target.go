package model

import "time"

// Target is the state of one target, as reported by its admitting node.
type Target struct {
	ID      TargetID
	Service ServiceName
	// Address is the host:port of the upstream, reachable from the admitting node.
	Address string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// RampSlots is the number of slots that the slow-start ramp currently allows, at most Slots.
	RampSlots int
	// Cold means that the target is in its cold start and responds slowly.
	Cold     bool
	InFlight int
	Queued   int
	Phase    Phase
	// Suspected means that the failure detector of the admitting node suspects the target.
	Suspected bool
	// BreakerHalfOpen means that the circuit breaker of the target is half-open, because its last runs failed or took too
	// long.
	BreakerHalfOpen bool
	// InTrial means that the suspected target may receive a few idempotent trial requests.
	InTrial bool
	// Missing means that the announcement of the upstream is overdue.
	Missing bool
	// Successes and Failures count the outcomes of requests since the node started, without health probes.
	Successes uint64
	Failures  uint64
	// Report is the detector report on this target as JSON. The failure detectors of the service's other targets use it.
	Report string
	// FirstByte is the smoothed time to first byte, 0 before the first response.
	FirstByte time.Duration
}

// AcceptsRequests reports whether the announced phase allows new requests.
func (t Target) AcceptsRequests() bool { return t.Phase == PhaseReady }
