package quarantine

import (
	"slices"
	"time"
)

// record is the stored form of an entry. Instead of an age, it contains the time on the node's own clock from which the
// age counts.
type record struct {
	fingerprint Fingerprint
	epoch       uint64
	losses      []Loss
	since       time.Duration
	// probes is the number of probes of the quarantine, probedAt the time of the last one.
	probes   int
	probedAt time.Duration
	// nextProbeTry is the time from which this node may ask for a probe again.
	nextProbeTry time.Duration
	// waited is the time for which requests of this node have waited for its turn to claim the probe waitedFor, and ended before it.
	waited    time.Duration
	waitedFor ClaimedProbe
}

// entry returns the form that is propagated to other nodes.
func (r *record) entry(now time.Duration) Entry {
	entry := Entry{
		Fingerprint: r.fingerprint,
		Identity:    IdentityVersion,
		Epoch:       r.epoch,
		Losses:      slices.Clone(r.losses),
		Age:         max(0, now-r.since),
		Probes:      r.probes,
	}
	if r.probes > 0 {
		entry.ProbeAge = max(0, now-r.probedAt)
	}
	return entry
}

// lifetime returns the age at which the record expires.
func (r *record) lifetime() time.Duration {
	if incriminating(r.losses) >= LossLimit {
		return QuarantineTTL
	}
	return LossTTL
}

// expired reports whether the lifetime of the record has ended.
func (r *record) expired(now time.Duration) bool { return now-r.since >= r.lifetime() }

// clearLosses removes the losses and starts the next epoch.
func (r *record) clearLosses(now time.Duration) {
	r.epoch++
	r.losses = nil
	r.since = now
	r.probes, r.probedAt, r.nextProbeTry = 0, 0, 0
}

// add adds a loss at the given time. It reports whether the record changed.
func (r *record) add(loss Loss, at time.Duration) bool {
	_, known := slices.BinarySearchFunc(r.losses, loss, compareLoss)
	losses, changed := insertLoss(r.losses, loss)
	r.losses = losses
	if !known {
		r.since = max(r.since, at)
	}
	return changed
}

// mergeProbes takes over the probes of another record of the same epoch if there were more. It reports whether the record changed.
func (r *record) mergeProbes(other *record) bool {
	if other.probes <= r.probes {
		return false
	}
	r.probes, r.probedAt = other.probes, other.probedAt
	return true
}
