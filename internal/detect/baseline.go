package detect

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// patience is the time after which evidence over the threshold counts without news from the other targets, for
// example at a node that is cut off.
const patience = 5 * time.Second

// Baseline compares the evidence with what the other targets saw in the same period. Evidence that remains over the
// threshold makes the target suspect. The node calls it after each update of peers.
func (d *Detector) Baseline(now time.Duration, self model.TargetID, peers *Peers) {
	d.advance(now)
	others := peers.others(self)
	d.peerUsual = usualTimes(others)
	against := d.comparison(others)
	d.adopt(against.long.worse(against.recent))
	if d.phase != Healthy {
		return
	}
	d.compare(now, against)
	if d.claim != nil && peers.asOf >= d.claim.at {
		d.decide(now, against)
	}
	d.check(now)
}

// decide ends the wait of a claim, unless the other targets have shown too little to compare it with.
func (d *Detector) decide(now time.Duration, against comparison) {
	d.claim.compare(now, against)
	best, at := d.claim.score(d.threshold)
	if best < d.threshold {
		d.claim = nil
		return
	}
	if against.enough(d.claim.extent(at)) {
		d.suspect(now, at)
	}
}

// comparison prepares the comparison with the other targets.
func (d *Detector) comparison(others []*peer) comparison {
	long := DefaultShares().after(pool(others, func(p *peer) Counts { return p.long.work }), priorWeight)
	return comparison{
		others:      others,
		long:        long,
		recent:      long.after(pool(others, (*peer).lately), sameWeight),
		failureRate: d.parameters.FailureRate,
	}
}
