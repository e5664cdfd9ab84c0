package quarantine

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// Start records that a request is running at the target. Each Start must be followed by one Finish, or by RecordLoss of
// the target.
func (t *Table) Start(fingerprint Fingerprint, target model.TargetID) {
	runs := t.running[target]
	if runs == nil {
		runs = make(map[Fingerprint]int)
		t.running[target] = runs
	}
	if runs[fingerprint] == 0 {
		t.targetCounts[fingerprint]++
	}
	runs[fingerprint]++
}

// Finish records that a request passed to Start is no longer running at the target. A success clears the losses of a
// fingerprint that is not quarantined. In this case, Finish returns the cleared entry, which the caller propagates to
// other nodes, and true.
func (t *Table) Finish(now time.Duration, fingerprint Fingerprint, target model.TargetID, success bool) (Entry, bool) {
	if !t.removeRun(fingerprint, target) || !success {
		return Entry{}, false
	}
	r := t.records[fingerprint]
	if r == nil || len(r.losses) == 0 || len(r.losses) >= LossLimit {
		return Entry{}, false
	}
	r.clearLosses(now)
	return r.entry(now), true
}

// removeRun removes one run of a fingerprint at the target. It reports whether there was one; RecordLoss removes the
// runs of a lost target.
func (t *Table) removeRun(fingerprint Fingerprint, target model.TargetID) bool {
	runs := t.running[target]
	if runs[fingerprint] == 0 {
		return false
	}
	runs[fingerprint]--
	if runs[fingerprint] > 0 {
		return true
	}
	t.removeRuns(fingerprint, target)
	return true
}

// removeRuns removes all runs of a fingerprint at the target.
func (t *Table) removeRuns(fingerprint Fingerprint, target model.TargetID) {
	delete(t.running[target], fingerprint)
	if len(t.running[target]) == 0 {
		delete(t.running, target)
	}
	t.targetCounts[fingerprint]--
	if t.targetCounts[fingerprint] == 0 {
		delete(t.targetCounts, fingerprint)
	}
}
