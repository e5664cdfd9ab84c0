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
	long := d.longShares(others)
	d.adopt(long)
	if d.phase != Healthy {
		return
	}
	for i := range d.excursions {
		d.compare(now, i, others, long)
	}
	d.probes.compare(pool(others, d.probes.start))
	d.check(now)
	if d.waiting && peers.asOf >= d.crossed {
		d.suspect(now)
	}
}

// longShares returns the shares of the other targets over the long window.
func (d *Detector) longShares(others []*peer) Shares {
	var sum tally
	for _, one := range others {
		sum = sum.plus(one.long)
	}
	return estimate(leastShares, sum.work)
}

// compare computes one sum again with the shares of the period since it started.
func (d *Detector) compare(now time.Duration, i int, others []*peer, long Shares) {
	e := &d.excursions[i]
	if e.score <= 0 {
		return
	}
	same := estimate(long, pool(others, e.start).work)
	e.rescore(now, bank[i].against(same, d.parameters.FailureRate))
}
