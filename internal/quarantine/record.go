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
}

// entry returns the form that is propagated to other nodes.
func (r *record) entry(now time.Duration) Entry {
	return Entry{
		Fingerprint: r.fingerprint,
		Epoch:       r.epoch,
		Losses:      slices.Clone(r.losses),
		Age:         max(0, now-r.since),
	}
}

// lifetime returns the age at which the record expires.
func (r *record) lifetime() time.Duration {
	if len(r.losses) >= LossLimit {
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
}

// add adds a loss at the given time. It reports whether the record changed.
func (r *record) add(loss Loss, at time.Duration) bool {
	index, found := slices.BinarySearchFunc(r.losses, loss, compareLoss)
	if found {
		return false
	}
	r.losses = slices.Insert(r.losses, index, loss)
	r.since = max(r.since, at)
	if len(r.losses) > LossLimit {
		r.losses = r.losses[:LossLimit]
	}
	return true
}
