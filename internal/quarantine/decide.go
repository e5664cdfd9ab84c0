package quarantine

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// MayRun decides whether a request may run at the target now. A quarantined fingerprint may not run. A fingerprint with
// a loss may run if it runs at no other target and no other fingerprint with a loss runs at the target. Then the next
// loss has only one possible cause. Accepting nodes call MayRun before they dispatch a request. The admitting node,
// which handles all requests to the target, calls it before it admits one.
func (t *Table) MayRun(now time.Duration, fingerprint Fingerprint, target model.TargetID) Decision {
	losses := t.lossesOf(now, fingerprint)
	switch {
	case len(losses) == 0:
		return Decision{Allowed: true}
	case incriminating(losses) >= LossLimit:
		return Decision{Quarantined: true}
	case t.runsElsewhere(fingerprint, target) || t.runsOtherWithLoss(now, fingerprint, target):
		return Decision{RecheckAfter: RecheckDelay}
	}
	return Decision{Allowed: true}
}

// MayProbe is MayRun for a request with the claimed probe of a quarantined fingerprint.
func (t *Table) MayProbe(now time.Duration, fingerprint Fingerprint, target model.TargetID, probe ClaimedProbe) Decision {
	if r := t.records[fingerprint]; r != nil && !r.expired(now) && r.endsProbe(probe) {
		return Decision{Quarantined: true}
	}
	if t.runsElsewhere(fingerprint, target) || t.runsOtherWithLoss(now, fingerprint, target) {
		return Decision{RecheckAfter: RecheckDelay}
	}
	return Decision{Allowed: true}
}

// losses returns the number of losses that are attributed to the fingerprint now.
func (t *Table) losses(now time.Duration, fingerprint Fingerprint) int {
	return len(t.lossesOf(now, fingerprint))
}

func (t *Table) lossesOf(now time.Duration, fingerprint Fingerprint) []Loss {
	r := t.records[fingerprint]
	if r == nil || r.expired(now) {
		return nil
	}
	return r.losses
}

// runsElsewhere reports whether the fingerprint runs at another target.
func (t *Table) runsElsewhere(fingerprint Fingerprint, target model.TargetID) bool {
	others := t.targetCounts[fingerprint]
	if t.running[target][fingerprint].count > 0 {
		others--
	}
	return others > 0
}

// runsOtherWithLoss reports whether another fingerprint with a loss runs at the target.
func (t *Table) runsOtherWithLoss(now time.Duration, except Fingerprint, target model.TargetID) bool {
	for fingerprint := range t.running[target] {
		if fingerprint != except && t.losses(now, fingerprint) > 0 {
			return true
		}
	}
	return false
}

// RecordLoss records the loss of an upstream and attributes it to every fingerprint in flight there, with the evidence that
// this table has. It ends all runs at the target. It returns the changed entries in order of their fingerprints; the caller propagates them to other
// nodes.
func (t *Table) RecordLoss(now time.Duration, loss Loss) []Entry {
	t.removeExpired(now)
	var changed []Entry
	for _, fingerprint := range sortedKeys(t.running[loss.Target]) {
		loss.Evidence = t.evidence(now, fingerprint, t.running[loss.Target][fingerprint])
		t.removeRuns(fingerprint, loss.Target)
		if r, ok := t.attributeLoss(now, fingerprint, loss); ok {
			changed = append(changed, r.entry(now))
		}
	}
	t.evictExcess()
	return changed
}

// evidence returns what the loss of a target that had the runs of the fingerprint says about it.
func (t *Table) evidence(now time.Duration, fingerprint Fingerprint, lost run) Evidence {
	switch {
	case lost.isolated:
		return Isolated
	case t.successes.has(now, fingerprint):
		return Coincident
	}
	return Unproven
}

// Release ends the quarantine of a fingerprint on an operator's command. It returns the changed entry, which the caller
// propagates to other nodes, and false if the fingerprint has no losses.
func (t *Table) Release(now time.Duration, fingerprint Fingerprint) (Entry, bool) {
	r := t.records[fingerprint]
	if r == nil || len(r.losses) == 0 {
		return Entry{}, false
	}
	r.clearLosses(now)
	return r.entry(now), true
}

// attributeLoss attributes the loss to the fingerprint. It reports whether the loss was not attributed to it before.
func (t *Table) attributeLoss(now time.Duration, fingerprint Fingerprint, loss Loss) (*record, bool) {
	r := t.records[fingerprint]
	if r == nil {
		r = &record{fingerprint: fingerprint}
		t.records[fingerprint] = r
	}
	return r, r.add(loss, now)
}
