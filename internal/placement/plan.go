// Package placement determines the order in which targets receive the admission request of one request. A refusal takes
// one round trip and costs the target nothing. A plan therefore requests free slots first, in the failure domain of the
// accepting node and then in its region. After that it queues where the expected wait is shortest, and it uses other
// regions last. The package is pure.
//
// The design handles a load at which some targets of a service hang for seconds and the others are nearly full. Load
// data that is a second old is then too stale to select a target.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardinereach/sardinereach/internal/routing"
)

const (
	// maxDomainAdmissionRequests bounds the requests for a free slot in the accepting node's failure domain.
	maxDomainAdmissionRequests = 12
	// maxRegionAdmissionRequests bounds those in the other failure domains of the region, because bytes between failure
	// domains are paid for.
	maxRegionAdmissionRequests = 3
	// maxRemoteAdmissionRequests bounds the admission requests to other regions while the circuit breakers of all targets
	// in the own region are half-open.
	maxRemoteAdmissionRequests = 3
	// maxRemoteAdmissionRequestsIfFull bounds them while a healthy target of the own region is full. Targets in other
	// regions are then likely to be full too, and each request costs a long round trip and bytes that are paid for.
	maxRemoteAdmissionRequestsIfFull = 1
	// maxQueueRequests bounds the admission requests in mode Queue, apart from the first ones to other regions.
	maxQueueRequests = 2
	// maxLastResortRequests bounds the admission requests in mode LastResort.
	maxLastResortRequests = 2
	// maxRequiredSuccessesIfFull is the number of required successes up to which a half-open target is used as last resort
	// while healthy targets are full. A breaker that needs one more success admits a request that is more likely than not
	// to be served.
	maxRequiredSuccessesIfFull = 1
	// maxDomainWaitShare is the share of its latency objective up to which a request of referenceBytes waits in its own
	// failure domain before it tries another one.
	maxDomainWaitShare = 0.15
	// probeShare is the share of idempotent requests that try the half-open targets of their failure domain first, as
	// probes. Without probes a recovered target stays out of use, and the targets in use fall below the service's capacity
	// floor.
	probeShare = 0.25
)

// distanceCostShares are the costs of forwarding a request of referenceBytes by distance, as a wait in shares of its
// latency objective. Bytes between failure domains and between regions are paid for.
var distanceCostShares = [...]float64{routing.SameDomain: 0, routing.SameRegion: 0.05, routing.OtherRegion: 0.45}

// Plan is the order of the admission requests for one request. It is not safe for concurrent use.
type Plan struct {
	entries []entry
	last    int
	// admissionRequests counts the targets chosen by nextUnrequested, by distance. queueRequests counts those chosen by
	// leastCost, lastResortRequests the admission requests in mode LastResort.
	admissionRequests  [routing.OtherRegion + 1]int
	queueRequests      int
	lastResortRequests int
	// maxDomainWait is the expected wait up to which the request queues in its own failure domain before it tries others.
	maxDomainWait time.Duration
	// distanceCost is the cost of forwarding the request by distance, expressed as a wait.
	distanceCost [routing.OtherRegion + 1]time.Duration
	// hasFullTarget means that a target with a closed breaker was full.
	hasFullTarget bool
}

const noEntry = -1

// New returns the plan for the request at the given time on the node's clock. It excludes the targets in tried.
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
	p.sortEntries(rq.Idempotent, random)
	return p
}

// sortEntries sorts the targets by their keys. Idempotent requests go to targets with equal keys in random order, and show which
// of them fail. Requests that can't be retried go to them in the order of their IDs, so that all nodes use the same few targets,
// whose successes are recent: fewer of them are the first at a target that has begun to fail.
func (p *Plan) sortEntries(idempotent bool, random *rand.Rand) {
	if idempotent {
		random.Shuffle(len(p.entries), func(i, j int) { p.entries[i], p.entries[j] = p.entries[j], p.entries[i] })
	} else {
		slices.SortFunc(p.entries, func(a, b entry) int { return cmp.Compare(a.candidate.Target.ID, b.candidate.Target.ID) })
	}
	slices.SortStableFunc(p.entries, func(a, b entry) int { return a.sortKey - b.sortKey })
}

// Next returns the target of the next admission request, false if none is left.
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

// maxAdmissionRequests bounds Plan.admissionRequests by distance.
var maxAdmissionRequests = [...]int{
	routing.SameDomain:  maxDomainAdmissionRequests,
	routing.SameRegion:  maxRegionAdmissionRequests,
	routing.OtherRegion: maxRemoteAdmissionRequests,
}

// nextUnrequested returns the first target at the distance that has not received an admission request.
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

// leastCost returns the target within the distance at which the request is expected to get a slot soonest. It skips
// targets whose circuit breaker is half-open and those without a known state.
func (p *Plan) leastCost(within routing.Distance) int {
	best := noEntry
	if p.queueRequests >= maxQueueRequests {
		return noEntry
	}
	for i := range p.entries {
		e := &p.entries[i]
		state, ok := e.state()
		if !ok || e.excluded || state.RequiredSuccesses > 0 || e.requested && !state.Full || e.candidate.Distance > within {
			continue
		}
		if best == noEntry || p.isCheaper(e, &p.entries[best]) {
			best = i
		}
	}
	return best
}

// isCheaper reports whether the request is expected to get a slot sooner at a than at b. Of two targets with free slots, the
// one with more of them has fewer unanswered runs.
func (p *Plan) isCheaper(a, b *entry) bool {
	if costA, costB := p.cost(a), p.cost(b); costA != costB {
		return costA < costB
	}
	return a.refusal.Free > b.refusal.Free
}

// cost returns the expected wait at the target plus the cost of its distance. A target with free slots has no wait.
func (p *Plan) cost(e *entry) time.Duration {
	state, _ := e.state()
	if state.Free > 0 {
		return p.distanceCost[e.candidate.Distance]
	}
	return state.Wait + p.distanceCost[e.candidate.Distance]
}

// fewestRequiredSuccesses returns the half-open target that needs the fewest successes to close its breaker.
func (p *Plan) fewestRequiredSuccesses() int {
	best := noEntry
	if p.lastResortRequests >= maxLastResortRequests {
		return noEntry
	}
	for i := range p.entries {
		e := &p.entries[i]
		required := e.requiredSuccesses()
		if e.excluded || required == 0 || p.hasFullTarget && required > maxRequiredSuccessesIfFull {
			continue
		}
		if best == noEntry || required < p.entries[best].requiredSuccesses() {
			best = i
		}
	}
	return best
}

// RecordRefusal records that the target of the last choice refused the request.
func (p *Plan) RecordRefusal(refusal Refusal) {
	if p.last == noEntry {
		return
	}
	e := &p.entries[p.last]
	e.refusal = refusal
	p.hasFullTarget = p.hasFullTarget || refusal.Full && refusal.Free == 0 && refusal.RequiredSuccesses == 0
	if !refusal.Full && refusal.RequiredSuccesses == 0 {
		e.excluded = true
	}
}

// Remaining returns the number of targets that are not excluded from further admission requests.
func (p *Plan) Remaining() int {
	remaining := 0
	for i := range p.entries {
		if !p.entries[i].excluded {
			remaining++
		}
	}
	return remaining
}

// Saturated reports whether a healthy target had no free slot for the request. A second pass over the targets would find
// the same.
func (p *Plan) Saturated() bool { return p.hasFullTarget }
