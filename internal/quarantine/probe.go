package quarantine

import "time"

// ProbeDue reports whether the quarantined fingerprint may be probed: one node may run one request with it, alone at its target,
// to find out whether the quarantine should end. Of the nodes that ask at the same time, the one whose ClaimProbe reaches the
// store first gets the probe. After a call that returns true, the next ones of this table return false for probeRetryDelay.
func (t *Table) ProbeDue(now time.Duration, fingerprint Fingerprint) bool {
	r := t.records[fingerprint]
	if r == nil || r.expired(now) || !r.probeDue(now) {
		return false
	}
	r.nextProbeTry = now + probeRetryDelay
	return true
}

// ClaimProbe returns the entry of the fingerprint with its next probe, which the caller writes to the store in place of the one
// that it has read and merged. It returns false if a probe is no longer due.
func (t *Table) ClaimProbe(now time.Duration, fingerprint Fingerprint) (Entry, bool) {
	r := t.records[fingerprint]
	if r == nil || r.expired(now) || !r.probeIntervalPassed(now) {
		return Entry{}, false
	}
	claimed := r.entry(now)
	claimed.Probes++
	claimed.ProbeAge = 0
	return claimed, true
}

func (r *record) probeDue(now time.Duration) bool {
	return r.probeIntervalPassed(now) && now >= r.nextProbeTry
}

// probeIntervalPassed reports whether the time until the next probe has passed since the last one or, before the first one, since
// the newest loss.
func (r *record) probeIntervalPassed(now time.Duration) bool {
	if incriminating(r.losses) < LossLimit || r.isOrdered() {
		return false
	}
	last := r.since
	if r.probes > 0 {
		last = max(last, r.probedAt)
	}
	return now-last >= r.probeInterval()
}

func (r *record) probeInterval() time.Duration {
	interval := unconfirmedProbeDelay
	if confirmed(r.losses) {
		interval = confirmedProbeDelay
	}
	for range min(r.probes, maxProbeGrowths) {
		interval *= probeGrowth
	}
	return interval
}

// endsProbe reports whether the quarantine has outdated the claim of the probe.
func (r *record) endsProbe(probe ClaimedProbe) bool {
	if incriminating(r.losses) < LossLimit {
		return false
	}
	return r.isOrdered() || r.epoch > probe.Epoch || r.epoch == probe.Epoch && r.probes > probe.Number
}

// isOrdered reports whether an operator has ordered the quarantine. Only an operator ends it.
func (r *record) isOrdered() bool {
	for _, loss := range r.losses {
		if loss.Evidence == Ordered {
			return true
		}
	}
	return false
}
