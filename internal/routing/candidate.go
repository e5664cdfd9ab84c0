package routing

import (
	"sync/atomic"
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Distance orders targets by the cost of forwarding a request to them.
type Distance uint8

const (
	// SameDomain means the failure domain of the accepting node.
	SameDomain Distance = iota
	// SameRegion means another failure domain of the same region.
	SameRegion
	// OtherRegion means a region that is reached over an inter-region link.
	OtherRegion
)

// Load is the load of a target from the accepting node's point of view. It outlives snapshots.
type Load struct {
	// OwnInFlight counts the accepting node's own requests in flight.
	OwnInFlight atomic.Int32
	// ReportedInFlight is the latest in-flight count from the admitting node.
	ReportedInFlight atomic.Int32
	// latest is the newest load update of the target, nil before the first one.
	latest atomic.Pointer[model.TargetLoad]
}

// Update stores the target's load unless the stored one is as new or newer.
func (l *Load) Update(load model.TargetLoad) {
	for {
		current := l.latest.Load()
		if current != nil && current.At >= load.At {
			return
		}
		if l.latest.CompareAndSwap(current, &load) {
			return
		}
	}
}

// Latest returns the newest load update of the target, false if there is none since the given time.
func (l *Load) Latest(since time.Duration) (model.TargetLoad, bool) {
	latest := l.latest.Load()
	if latest == nil || latest.At < since {
		return model.TargetLoad{}, false
	}
	return *latest, true
}

// Candidate is a target that may be picked. It is immutable except for its Load.
type Candidate struct {
	Target   model.Target
	Node     model.Node
	Distance Distance
	// Rank is the position of the target's region in the operator's order of regions, 0 for the most preferred one.
	Rank int
	Load *Load
	// LastResort means that the target is only used because the service would be below its capacity floor without it.
	LastResort bool
}

// inFlight returns the best estimate of the requests in flight at the target.
func (c *Candidate) inFlight() int32 {
	return max(c.Load.OwnInFlight.Load(), c.Load.ReportedInFlight.Load())
}

// Tier returns the locality tier, smaller for preferred candidates. Tiers follow the operator's order of regions. Among
// regions of equal rank, the accepting node's region comes first.
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

// hasFreeSlot reports whether the in-flight estimate is below the slots that the slow-start ramp allows.
func (c *Candidate) hasFreeSlot() bool {
	return c.inFlight() < int32(max(c.Target.RampSlots, 1))
}

// score returns the load of the target with one more request, as a share of its slots. It adds domainPenalty for a target
// in another failure domain and lastResortPenalty for a last resort.
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
	// domainPenalty is the load difference, as a share of a target's slots, above which a request leaves its failure
	// domain.
	domainPenalty = 0.25
	// lastResortPenalty sends requests to suspected targets only while the slots of the others are in use.
	lastResortPenalty = 1.0
)
