// Package placement chooses the targets that a request is offered to, one after the other. An admission point refuses in
// a round trip and at no cost to its target, so a request asks for free slots first, in its own failure domain and then in
// its own region, waits where the queue is shortest, and goes to another region last. The package is pure.
//
// It answers the load at which some targets of a service hang for seconds and the others are nearly full: figures about
// load that are a second old tell too little then.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/routing"
)

const (
	// maxDomainAdmissionRequests bounds the targets of the own failure domain that are asked for a free slot.
	maxDomainAdmissionRequests = 12
	// maxRegionAdmissionRequests bounds those of the other failure domains of the region, where bytes are paid for.
	maxRegionAdmissionRequests = 3
	// maxRemoteAdmissionRequests bounds the targets of other regions that are asked while all targets of the own region are doubtful.
	maxRemoteAdmissionRequests = 3
	// maxRemoteAdmissionRequestsIfFull bounds them while a sound target of the own region is merely full: the others are then likely to
	// be full as well, and each ask takes a long round trip and bytes that are paid for.
	maxRemoteAdmissionRequestsIfFull = 1
	// maxQueueRequests bounds the targets that are asked for a place in their queue.
	maxQueueRequests = 2
	// maxLastResortRequests bounds the doubtful targets that are asked to take the request all the same.
	maxLastResortRequests = 2
	// maxRequiredSuccessesIfFull is the doubt up to which a doubtful target is asked while others are merely full. It needs one more good
	// answer, so that a request is more likely to be served there than not.
	maxRequiredSuccessesIfFull = 1
	// maxDomainWaitShare is the part of its latency objective that a request of referenceBytes waits in its own failure domain
	// rather than to ask in another one.
	maxDomainWaitShare = 0.15
	// probeShare is the share of idempotent requests that ask the doubtful targets of their failure domain first. Without
	// them a target that has recovered stays out, and the targets in use fall below the service's floor.
	probeShare = 0.25
)

// distanceCostShares are the parts of its latency objective that a request of referenceBytes rather waits than take the way to a
// target, by distance. Bytes between failure domains and between regions are paid for.
var distanceCostShares = [...]float64{routing.SameDomain: 0, routing.SameRegion: 0.05, routing.OtherRegion: 0.45}

// Plan is the order in which one request is offered to targets. It is not safe for concurrent use.
type Plan struct {
	entries []entry
	last    int
	// admissionRequests counts the asks for a free slot by distance.
	admissionRequests  [routing.OtherRegion + 1]int
	queueRequests      int
	lastResortRequests int
	// maxDomainWait is the wait that a request takes in its own failure domain before it asks in others.
	maxDomainWait time.Duration
	// distanceCost is the wait that is as bad as the way to a target, by distance.
	distanceCost [routing.OtherRegion + 1]time.Duration
	// hasFullTarget means that a target that is not doubtful was full.
	hasFullTarget bool
}

const noEntry = -1

// New returns the plan for the request, made at the given time on the node's clock. Targets in tried are left out.
func New(pool *routing.Pool, tried *routing.Tried, rq Request, now time.Duration, random *rand.Rand) *Plan {
	weight := rq.weight()
	p := &Plan{last: noEntry, maxDomainWait: time.Duration(weight * maxDomainWaitShare * float64(rq.Objective))}
	for distance, share := range distanceCostShares {
		p.distanceCost[distance] = time.Duration(weight * share * float64(rq.Objective))
	}
	probe := rq.Idempotent && random.Float64() < probeShare
	for candidate := range pool.All {
		if tried.Has(candidate.Target.ID) {
			continue
		}
		e := newEntry(candidate, now, probe)
		p.hasFullTarget = p.hasFullTarget || e.hasLoad && e.load.Free == 0 && e.load.RequiredSuccesses == 0
		p.entries = append(p.entries, e)
	}
	random.Shuffle(len(p.entries), func(i, j int) { p.entries[i], p.entries[j] = p.entries[j], p.entries[i] })
	slices.SortStableFunc(p.entries, func(a, b entry) int { return a.sortKey - b.sortKey })
	return p
}

// Next returns the target to ask next, false if none is left that may take the request.
func (p *Plan) Next() (Choice, bool) {
	if i := p.nextUnrequested(routing.SameDomain); i != noEntry {
		return p.choose(i, IdleOnly), true
	}
	if i := p.leastCost(routing.SameDomain); i != noEntry && p.cost(&p.entries[i]) <= p.maxDomainWait {
		return p.chooseQueue(i), true
	}
	if i := p.nextUnrequested(routing.SameRegion); i != noEntry {
		return p.choose(i, IdleOnly), true
	}
	if i := p.leastCost(routing.OtherRegion); i != noEntry {
		return p.chooseQueue(i), true
	}
	if i := p.nextUnrequested(routing.OtherRegion); i != noEntry {
		return p.choose(i, Queue), true
	}
	if i := p.fewestRequiredSuccesses(); i != noEntry {
		p.lastResortRequests++
		p.entries[i].excluded = true
		return p.choose(i, LastResort), true
	}
	return Choice{}, false
}

func (p *Plan) chooseQueue(i int) Choice {
	p.queueRequests++
	p.entries[i].excluded = true
	return p.choose(i, Queue)
}

func (p *Plan) choose(i int, mode Mode) Choice {
	p.last = i
	p.entries[i].requested = true
	return Choice{Candidate: p.entries[i].candidate, Mode: mode}
}

// maxAdmissionRequests bounds the asks by distance.
var maxAdmissionRequests = [...]int{routing.SameDomain: maxDomainAdmissionRequests, routing.SameRegion: maxRegionAdmissionRequests, routing.OtherRegion: maxRemoteAdmissionRequests}

// nextUnrequested returns the first target at the distance that was not asked yet.
func (p *Plan) nextUnrequested(distance routing.Distance) int {
	for i := range p.entries {
		if e := &p.entries[i]; e.candidate.Distance == distance && p.mayRequest(e) {
			p.admissionRequests[distance]++
			return i
		}
	}
	return noEntry
}

func (p *Plan) mayRequest(e *entry) bool {
	distance := e.candidate.Distance
	if distance == routing.OtherRegion && p.hasFullTarget && p.admissionRequests[routing.OtherRegion] >= maxRemoteAdmissionRequestsIfFull {
		return false
	}
	if distance != routing.SameDomain && !e.mayHaveFreeSlot() {
		return false
	}
	return !e.requested && !e.excluded && p.admissionRequests[distance] < maxAdmissionRequests[distance]
}

// leastCost returns the target within the distance at which the request is expected to get a slot soonest, doubtful ones
// and those of which nothing is known left out.
func (p *Plan) leastCost(within routing.Distance) int {
	best := noEntry
	if p.queueRequests >= maxQueueRequests {
		return noEntry
	}
	for i := range p.entries {
		e := &p.entries[i]
		state, known := e.state()
		if !known || e.excluded || state.RequiredSuccesses > 0 || e.requested && !state.Full || e.candidate.Distance > within {
			continue
		}
		if best == noEntry || p.cost(e) < p.cost(&p.entries[best]) {
			best = i
		}
	}
	return best
}

// cost returns the expected wait at the target, with what the way to it costs in terms of a wait.
func (p *Plan) cost(e *entry) time.Duration {
	state, _ := e.state()
	return state.Wait + p.distanceCost[e.candidate.Distance]
}

// fewestRequiredSuccesses returns the doubtful target that needs the fewest good answers.
func (p *Plan) fewestRequiredSuccesses() int {
	best := noEntry
	if p.lastResortRequests >= maxLastResortRequests {
		return noEntry
	}
	for i := range p.entries {
		e := &p.entries[i]
		doubt := e.requiredSuccesses()
		if e.excluded || doubt == 0 || p.hasFullTarget && doubt > maxRequiredSuccessesIfFull {
			continue
		}
		if best == noEntry || doubt < p.entries[best].requiredSuccesses() {
			best = i
		}
	}
	return best
}

// RecordRefusal takes in that the last target did not take the request.
func (p *Plan) RecordRefusal(refusal Refusal) {
	if p.last == noEntry {
		return
	}
	e := &p.entries[p.last]
	e.refusal = refusal
	p.hasFullTarget = p.hasFullTarget || refusal.Full && refusal.RequiredSuccesses == 0
	if !refusal.Full && refusal.RequiredSuccesses == 0 {
		e.excluded = true
	}
}

// Remaining returns the number of targets that may still be asked.
func (p *Plan) Remaining() int {
	left := 0
	for i := range p.entries {
		if !p.entries[i].excluded {
			left++
		}
	}
	return left
}

// Saturated reports whether a sound target had no room for the request. A second round would find the same.
func (p *Plan) Saturated() bool { return p.hasFullTarget }
