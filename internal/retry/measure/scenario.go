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
	// lossPercent is the share of attempts that fail although the upstream is well.
	lossPercent = 1
	messageTime = time.Millisecond

	warmUp       = 20 * time.Second
	measuredTime = 30 * time.Second
	brownOutTime = 30 * time.Second
	// brownOutSpeed is the speed of all upstreams in a brown-out.
	brownOutSpeed = 0.25
	expireEvery   = 50 * time.Millisecond
)

// capacity is the number of requests a second that the upstreams can run.
const capacity = float64(targets*realSlots) * float64(time.Second) / float64(meanWork)

// scenario is one simulated run.
type scenario struct {
	policy policy
	// offered is the load as a multiple of the capacity.
	offered   float64
	upstreams kind
	brownOut  bool
	seed      uint64
}

// kind is a kind of upstreams.
type kind struct {
	name string
	// announced is the number of slots that each upstream claims.
	announced int
	// ignoresCancel means that the upstream goes on with an attempt whose caller is gone.
	ignoresCancel bool
	// watched is the time after a brown-out in which the recovery is looked for.
	watched time.Duration
	// work draws the time that an attempt takes at full speed, with the mean meanWork.
	work func(*rand.Rand) time.Duration
}

const (
	// overstated is the number of slots that a misreporting upstream claims. At full load an attempt takes attemptTime.
	overstated = 5 * realSlots
	// grosslyOverstated lets in more attempts within attemptTime than the upstream can end.
	grosslyOverstated = 8 * realSlots
)

func kinds() []kind {
	return []kind{
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
