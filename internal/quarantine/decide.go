package quarantine

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// MayRun says whether a request may run now at the target. A quarantined fingerprint may not run. A fingerprint with a
// loss may run if it runs at no other target, and if no other fingerprint with a loss runs at the target: the next loss
// then has one suspect. Accepting nodes ask before they dispatch, and the admitting node, which sees all work of the
// target, asks before it admits.
func (t *Table) MayRun(now time.Duration, fingerprint Fingerprint, target model.TargetID) Ruling {
	losses := t.losses(now, fingerprint)
	switch {
	case losses == 0:
		return Ruling{OK: true}
	case losses >= LossLimit:
		return Ruling{Quarantined: true}
	case t.runsElsewhere(fingerprint, target) || t.suspectAt(now, fingerprint, target):
		return Ruling{Wait: SuspectWait}
	}
	return Ruling{OK: true}
}

// losses returns the number of losses that are held against the fingerprint now.
func (t *Table) losses(now time.Duration, fingerprint Fingerprint) int {
	r := t.entries[fingerprint]
	if r == nil || r.expired(now) {
		return 0
	}
	return len(r.losses)
}

// runsElsewhere reports whether the fingerprint runs at another target.
func (t *Table) runsElsewhere(fingerprint Fingerprint, target model.TargetID) bool {
	others := t.targets[fingerprint]
	if t.running[target][fingerprint] > 0 {
		others--
	}
	return others > 0
}

// suspectAt reports whether another fingerprint with a loss runs at the target.
func (t *Table) suspectAt(now time.Duration, except Fingerprint, target model.TargetID) bool {
	for fingerprint := range t.running[target] {
		if fingerprint != except && t.losses(now, fingerprint) > 0 {
			return true
		}
	}
	return false
}

// Lose notes the loss of an upstream: every fingerprint in flight there gets the loss. It returns the entries that
// changed, in order of their fingerprints, to be given to other nodes. The runs at the target are over.
func (t *Table) Lose(now time.Duration, loss Loss) []Entry {
	t.expire(now)
	var changed []Entry
	for _, fingerprint := range sortedKeys(t.running[loss.Target]) {
		t.drop(fingerprint, loss.Target)
		if r, ok := t.blame(now, fingerprint, loss); ok {
			changed = append(changed, r.entry(now))
		}
	}
	t.bound()
	return changed
}

// Release ends the quarantine of a fingerprint at an operator's word and returns the entry to give to other nodes. It
// returns false if the fingerprint has no losses.
func (t *Table) Release(now time.Duration, fingerprint Fingerprint) (Entry, bool) {
	r := t.entries[fingerprint]
	if r == nil || len(r.losses) == 0 {
		return Entry{}, false
	}
	r.clear(now)
	return r.entry(now), true
}

// blame gives the loss to the fingerprint. It reports whether the loss was new to it.
func (t *Table) blame(now time.Duration, fingerprint Fingerprint, loss Loss) (*record, bool) {
	r := t.entries[fingerprint]
	if r == nil {
		r = &record{fingerprint: fingerprint}
		t.entries[fingerprint] = r
	}
	return r, r.add(loss, now)
}
