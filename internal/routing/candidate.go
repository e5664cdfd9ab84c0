package routing

import (
	"sync/atomic"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Distance orders targets by the cost of reaching them.
type Distance uint8

const (
	// SameDomain is the failure domain of the accepting node.
	SameDomain Distance = iota
	// SameRegion is another failure domain of the same region.
	SameRegion
	// OtherRegion is reached over a link between regions.
	OtherRegion
)

// Load counts the requests at a target as the accepting node sees them. It outlives snapshots.
type Load struct {
	// OwnInFlight counts the accepting node's own requests in flight.
	OwnInFlight atomic.Int32
	// ReportedInFlight is the in-flight count that the admitting node sent last.
	ReportedInFlight atomic.Int32
	// latest is the newest news of the target's load, nil without any.
	latest atomic.Pointer[model.TargetLoad]
}

// Update takes in news of the target's load unless newer ones are known.
func (l *Load) Update(load model.TargetLoad) {
	for {
		known := l.latest.Load()
		if known != nil && known.At >= load.At {
			return
		}
		if l.latest.CompareAndSwap(known, &load) {
			return
		}
	}
}

// Latest returns the newest news of the target's load, false if there are none since the given time.
func (l *Load) Latest(since time.Duration) (model.TargetLoad, bool) {
	known := l.latest.Load()
	if known == nil || known.At < since {
		return model.TargetLoad{}, false
	}
	return *known, true
}

// Candidate is a target that may be picked. It is immutable but for its Load.
type Candidate struct {
	Target   model.Target
	Node     model.Node
	Distance Distance
	// Rank is the operator's order of regions, 0 for the most preferred one.
	Rank int
	Load *Load
	// LastResort means that the target is only used because the floor would not be met without it.
	LastResort bool
}

// inFlight returns the best estimate of the requests in flight at the target.
func (c *Candidate) inFlight() int32 {
	return max(c.Load.OwnInFlight.Load(), c.Load.ReportedInFlight.Load())
}

// Tier orders candidates by the operator's order of regions, and the region of the accepting node before others.
func (c *Candidate) Tier() int {
	tier := c.Rank * 2
	if c.Distance == OtherRegion {
		tier++
	}
	return tier
}

// IsFull reports whether the accepting node's own requests fill the slots of the target.
func (c *Candidate) IsFull() bool {
	return c.Load.OwnInFlight.Load() >= int32(max(c.Target.RampSlots, 1))
}

// hasFreeSlot reports whether the estimate leaves a slot of the cold-start ramp free.
func (c *Candidate) hasFreeSlot() bool {
	return c.inFlight() < int32(max(c.Target.RampSlots, 1))
}

// score is the load of the target with one more request, as a share of its slots. A target in another failure domain
// costs domainPenalty more.
func (c *Candidate) score() float64 {
	score := float64(c.inFlight()+1) / float64(max(c.Target.RampSlots, 1))
	if c.Distance != SameDomain {
		score += domainPenalty
	}
	if c.LastResort {
		score += lastResortPenalty
	}
	return score
}

const (
	// domainPenalty is the load difference, as a share of a target's slots, for which a request leaves its failure
	// domain.
	domainPenalty = 0.25
	// lastResortPenalty sends work to suspected targets only while the others are at their slots.
	lastResortPenalty = 1.0
)
