package quarantine

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Start notes that a request runs at the target. Each Start is followed by one Finish, or by Lose of the target.
func (t *Table) Start(fingerprint Fingerprint, target model.TargetID) {
	at := t.running[target]
	if at == nil {
		at = make(map[Fingerprint]int)
		t.running[target] = at
	}
	if at[fingerprint] == 0 {
		t.targets[fingerprint]++
	}
	at[fingerprint]++
}

// Finish notes that a request that Start noted no longer runs at the target. A success clears the losses of a
// fingerprint that is not quarantined; then the cleared entry is returned, to be given to other nodes.
func (t *Table) Finish(now time.Duration, fingerprint Fingerprint, target model.TargetID, success bool) (Entry, bool) {
	if !t.stop(fingerprint, target) || !success {
		return Entry{}, false
	}
	r := t.entries[fingerprint]
	if r == nil || len(r.losses) == 0 || len(r.losses) >= LossLimit {
		return Entry{}, false
	}
	r.clear(now)
	return r.entry(now), true
}

// stop takes one run off the target. It reports whether there was one; there is none after the target was lost.
func (t *Table) stop(fingerprint Fingerprint, target model.TargetID) bool {
	at := t.running[target]
	if at[fingerprint] == 0 {
		return false
	}
	at[fingerprint]--
	if at[fingerprint] > 0 {
		return true
	}
	t.drop(fingerprint, target)
	return true
}

// drop forgets all runs of a fingerprint at the target.
func (t *Table) drop(fingerprint Fingerprint, target model.TargetID) {
	delete(t.running[target], fingerprint)
	if len(t.running[target]) == 0 {
		delete(t.running, target)
	}
	t.targets[fingerprint]--
	if t.targets[fingerprint] == 0 {
		delete(t.targets, fingerprint)
	}
}
