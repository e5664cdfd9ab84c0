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
	// maxDomainAsks bounds the targets of the own failure domain that are asked for a free slot.
	maxDomainAsks = 12
	// maxRegionAsks bounds those of the other failure domains of the region, where bytes are paid for.
	maxRegionAsks = 3
	// maxRemoteAsks bounds the targets of other regions that are asked while all targets of the own region are doubtful.
	maxRemoteAsks = 3
	// maxRemoteAsksIfFull bounds them while a sound target of the own region is merely full: the others are then likely to
	// be full as well, and each ask takes a long round trip and bytes that are paid for.
	maxRemoteAsksIfFull = 1
	// maxQueueAsks bounds the targets that are asked for a place in their queue.
	maxQueueAsks = 2
	// maxLastResorts bounds the doubtful targets that are asked to take the request all the same.
	maxLastResorts = 2
	// slightDoubt is the doubt up to which a doubtful target is asked while others are merely full. It needs one more good
	// answer, so that a request is more likely to be served there than not.
	slightDoubt = 1
	// domainWaitShare is the part of its latency objective that a request of referenceBytes waits in its own failure domain
	// rather than to ask in another one.
	domainWaitShare = 0.15
	// probeShare is the share of idempotent requests that ask the doubtful targets of their failure domain first. Without
	// them a target that has recovered stays out, and the targets in use fall below the service's floor.
	probeShare = 0.25
)

// crossingShares are the parts of its latency objective that a request of referenceBytes rather waits than take the way to a
// target, by distance. Bytes between failure domains and between regions are paid for.
var crossingShares = [...]float64{routing.SameDomain: 0, routing.SameRegion: 0.05, routing.OtherRegion: 0.45}

// Plan is the order in which one request is offered to targets. It is not safe for concurrent use.
type Plan struct {
	entries []entry
	last    int
	// asks counts the asks for a free slot by distance.
	asks   [routing.OtherRegion + 1]int
	queued int
	forced int
	// domainWait is the wait that a request takes in its own failure domain before it asks in others.
	domainWait time.Duration
	// crossing is the wait that is as bad as the way to a target, by distance.
	crossing [routing.OtherRegion + 1]time.Duration
	// full means that a target that is not doubtful was full.
	full bool
}

const none = -1

// New returns the plan for the request, made at the given time on the node's clock. Targets in tried are left out.
func New(pool *routing.Pool, tried *routing.Tried, rq Request, now time.Duration, random *rand.Rand) *Plan {
	weight := rq.weight()
	p := &Plan{last: none, domainWait: time.Duration(weight * domainWaitShare * float64(rq.Objective))}
	for distance, share := range crossingShares {
		p.crossing[distance] = time.Duration(weight * share * float64(rq.Objective))
	}
	probe := rq.Idempotent && random.Float64() < probeShare
	for candidate := range pool.All {
		if tried.Has(candidate.Target.ID) {
			continue
		}
		e := newEntry(candidate, now, probe)
		p.full = p.full || e.hasNews && e.news.Free == 0 && e.news.Doubt == 0
		p.entries = append(p.entries, e)
	}
	random.Shuffle(len(p.entries), func(i, j int) { p.entries[i], p.entries[j] = p.entries[j], p.entries[i] })
	slices.SortStableFunc(p.entries, func(a, b entry) int { return a.order - b.order })
	return p
}

// Next returns the target to ask next, false if none is left that may take the request.
func (p *Plan) Next() (Choice, bool) {
	if i := p.nextUnasked(routing.SameDomain); i != none {
		return p.choose(i, IdleOnly), true
	}
	if i := p.leastCost(routing.SameDomain); i != none && p.cost(&p.entries[i]) <= p.domainWait {
		return p.chooseQueue(i), true
	}
	if i := p.nextUnasked(routing.SameRegion); i != none {
		return p.choose(i, IdleOnly), true
	}
	if i := p.leastCost(routing.OtherRegion); i != none {
		return p.chooseQueue(i), true
	}
	if i := p.nextUnasked(routing.OtherRegion); i != none {
		return p.choose(i, Queue), true
	}
	if i := p.leastDoubt(); i != none {
		p.forced++
		p.entries[i].closed = true
		return p.choose(i, LastResort), true
	}
	return Choice{}, false
}

func (p *Plan) chooseQueue(i int) Choice {
	p.queued++
	p.entries[i].closed = true
	return p.choose(i, Queue)
}

func (p *Plan) choose(i int, mode Mode) Choice {
	p.last = i
	p.entries[i].asked = true
	return Choice{Candidate: p.entries[i].candidate, Mode: mode}
}

// maxAsks bounds the asks by distance.
var maxAsks = [...]int{routing.SameDomain: maxDomainAsks, routing.SameRegion: maxRegionAsks, routing.OtherRegion: maxRemoteAsks}

// nextUnasked returns the first target at the distance that was not asked yet.
func (p *Plan) nextUnasked(distance routing.Distance) int {
	for i := range p.entries {
		if e := &p.entries[i]; e.candidate.Distance == distance && p.mayAsk(e) {
			p.asks[distance]++
			return i
		}
	}
	return none
}

func (p *Plan) mayAsk(e *entry) bool {
	distance := e.candidate.Distance
	if distance == routing.OtherRegion && p.full && p.asks[routing.OtherRegion] >= maxRemoteAsksIfFull {
		return false
	}
	if distance != routing.SameDomain && !e.mayHaveRoom() {
		return false
	}
	return !e.asked && !e.closed && p.asks[distance] < maxAsks[distance]
}

// leastCost returns the target within the distance at which the request is expected to get a slot soonest, doubtful ones
// and those of which nothing is known left out.
func (p *Plan) leastCost(within routing.Distance) int {
	best := none
	if p.queued >= maxQueueAsks {
		return none
	}
	for i := range p.entries {
		e := &p.entries[i]
		state, known := e.state()
		if !known || e.closed || state.Doubt > 0 || e.asked && !state.Full || e.candidate.Distance > within {
			continue
		}
		if best == none || p.cost(e) < p.cost(&p.entries[best]) {
			best = i
		}
	}
	return best
}

// cost returns the expected wait at the target, with what the way to it costs in terms of a wait.
func (p *Plan) cost(e *entry) time.Duration {
	state, _ := e.state()
	return state.Wait + p.crossing[e.candidate.Distance]
}

// leastDoubt returns the doubtful target that needs the fewest good answers.
func (p *Plan) leastDoubt() int {
	best := none
	if p.forced >= maxLastResorts {
		return none
	}
	for i := range p.entries {
		e := &p.entries[i]
		doubt := e.doubt()
		if e.closed || doubt == 0 || p.full && doubt > slightDoubt {
			continue
		}
		if best == none || doubt < p.entries[best].doubt() {
			best = i
		}
	}
	return best
}

// Refused takes in that the last target did not take the request.
func (p *Plan) Refused(refusal Refusal) {
	if p.last == none {
		return
	}
	e := &p.entries[p.last]
	e.refusal = refusal
	p.full = p.full || refusal.Full && refusal.Doubt == 0
	if !refusal.Full && refusal.Doubt == 0 {
		e.closed = true
	}
}

// Left returns the number of targets that may still be asked.
func (p *Plan) Left() int {
	left := 0
	for i := range p.entries {
		if !p.entries[i].closed {
			left++
		}
	}
	return left
}

// Saturated reports whether a sound target had no room for the request. A second round would find the same.
func (p *Plan) Saturated() bool { return p.full }
