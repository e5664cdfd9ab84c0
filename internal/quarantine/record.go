package quarantine

import (
	"slices"
	"time"
)

// record is an entry together with the time, on the node's own clock, from which its age counts.
type record struct {
	fingerprint Fingerprint
	epoch       uint64
	losses      []Loss
	since       time.Duration
}

// entry returns the exchange form.
func (r *record) entry(now time.Duration) Entry {
	return Entry{
		Fingerprint: r.fingerprint,
		Epoch:       r.epoch,
		Losses:      slices.Clone(r.losses),
		Age:         max(0, now-r.since),
	}
}

// lifetime returns the time after which the record is dropped.
func (r *record) lifetime() time.Duration {
	if len(r.losses) >= LossLimit {
		return QuarantineTTL
	}
	return LossTTL
}

// expired reports whether the record has outlived its lifetime.
func (r *record) expired(now time.Duration) bool { return now-r.since >= r.lifetime() }

// clear drops the losses and starts the next epoch.
func (r *record) clear(now time.Duration) {
	r.epoch++
	r.losses = nil
	r.since = now
}

// add adds a loss at the given time. It reports whether the record changed.
func (r *record) add(loss Loss, at time.Duration) bool {
	index, known := slices.BinarySearchFunc(r.losses, loss, compareLoss)
	if known {
		return false
	}
	r.losses = slices.Insert(r.losses, index, loss)
	r.since = max(r.since, at)
	if len(r.losses) > LossLimit {
		r.losses = r.losses[:LossLimit]
	}
	return true
}
