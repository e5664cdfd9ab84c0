package detect

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// reportTimeout is the time after which an alarm makes the target suspected without reports about the other targets,
// for example on a partitioned node.
const reportTimeout = 5 * time.Second

// CompareWithPeers compares the evidence with the outcomes of the other targets in the same period. If it remains over
// the threshold, the target becomes suspected. The node calls CompareWithPeers after each update of peers.
func (d *Detector) CompareWithPeers(now time.Duration, self model.TargetID, peers *Peers) {
	d.advance(now)
	others := peers.others(self)
	d.peerBaselines = medianBaselines(others)
	ref := d.newReference(others)
	d.setHealthyShares(ref.longTerm.maxPerClass(ref.recent))
	if d.phase != Healthy {
		return
	}
	d.compare(now, ref)
	if d.alarm != nil && peers.asOf >= d.alarm.at {
		d.resolveAlarm(now, ref)
	}
	d.checkThreshold(now)
}

// resolveAlarm cancels or confirms the alarm. The alarm stays pending while the other targets have too few outcomes for
// a comparison.
func (d *Detector) resolveAlarm(now time.Duration, ref reference) {
	d.alarm.compare(now, ref)
	best, index := d.alarm.score(d.threshold)
	if best < d.threshold {
		d.alarm = nil
		return
	}
	if ref.isSufficient(d.alarm.extent(index)) {
		d.markSuspected(now, index)
	}
}

// newReference computes the reference from the reports about the other targets.
func (d *Detector) newReference(others []*peer) reference {
	longTerm := DefaultShares().posterior(pool(others, func(p *peer) Counts { return p.longTerm.requests }), priorWeight)
	return reference{
		others:      others,
		longTerm:    longTerm,
		recent:      longTerm.posterior(pool(others, (*peer).recentOutcomes), samePeriodWeight),
		failureRate: d.parameters.FailureRate,
	}
}
