package main

import (
	"math/rand/v2"
	"time"
)

const (
	targets     = 8
	realSlots   = 7
	meanWork    = 100 * time.Millisecond
	deadline    = 2 * time.Second
	attemptTime = 500 * time.Millisecond
	maxAttempts = 5
	// lossPercent is the percentage of attempts that fail although the upstream is healthy.
	lossPercent = 1
	messageTime = time.Millisecond

	warmUp       = 20 * time.Second
	measuredTime = 30 * time.Second
	brownOutTime = 30 * time.Second
	// brownOutSpeed is the speed of all upstreams during a brown-out, as a share of the full speed.
	brownOutSpeed  = 0.25
	expireInterval = 50 * time.Millisecond
)

// capacity is the number of requests per second that the upstreams can run.
const capacity = float64(targets*realSlots) * float64(time.Second) / float64(meanWork)

// scenario is one simulated run.
type scenario struct {
	policy policy
	// offered is the load as a multiple of the capacity.
	offered   float64
	upstreams upstreamKind
	brownOut  bool
	seed      uint64
}

// upstreamKind describes the behavior of the upstreams.
type upstreamKind struct {
	name string
	// announced is the number of slots that each upstream announces.
	announced int
	// ignoresCancel means that the upstream continues an attempt after its caller has disconnected.
	ignoresCancel bool
	// recoveryWindow is the time after a brown-out within which a recovery is detected.
	recoveryWindow time.Duration
	// work draws the time that an attempt takes at full speed. Its mean is meanWork.
	work func(*rand.Rand) time.Duration
}

const (
	// overstated is the number of slots that a misreporting upstream announces. At full load an attempt takes attemptTime.
	overstated = 5 * realSlots
	// grosslyOverstated admits more attempts than the upstream can complete within attemptTime.
	grosslyOverstated = 8 * realSlots
)

func upstreamKinds() []upstreamKind {
	return []upstreamKind{
		{"Upstreams that announce the slots that they have", realSlots, false, time.Minute, exponential},
		{"Upstreams that announce five times the slots that they have", overstated, false, time.Minute, exponential},
		{"Upstreams that announce eight times the slots that they have and go on with cancelled work", grosslyOverstated, true, 5 * time.Minute, uniform},
	}
}

func exponential(rng *rand.Rand) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(meanWork))
}

func uniform(rng *rand.Rand) time.Duration {
	return meanWork/2 + time.Duration(rng.Int64N(int64(meanWork)))
}
