package quarantine

import (
	"time"

	"github.com/sardinereach/sardinereach/internal/model"
)

// run is the runs of one fingerprint at one target.
type run struct {
	count int
	// isolated means that all of them began when the fingerprint had a loss, probe that one of them is a probe.
	isolated, probe bool
}

// Start records that a request is running at the target. Each Start must be followed by one Finish, or by RecordLoss of
// the target.
func (t *Table) Start(fingerprint Fingerprint, target model.TargetID) {
	t.start(fingerprint, target, false)
}

// StartProbe is Start for a probe.
func (t *Table) StartProbe(fingerprint Fingerprint, target model.TargetID) {
	t.start(fingerprint, target, true)
}

func (t *Table) start(fingerprint Fingerprint, target model.TargetID, probe bool) {
	runs := t.running[target]
	if runs == nil {
		runs = make(map[Fingerprint]run)
		t.running[target] = runs
	}
	current := runs[fingerprint]
	if current.count == 0 {
		t.targetCounts[fingerprint]++
		r := t.records[fingerprint]
		current.isolated = r != nil && len(r.losses) > 0
	}
	current.count++
	current.probe = current.probe || probe
	runs[fingerprint] = current
}

// Finish records that a request passed to Start is no longer running at the target. A success clears the losses of the
// fingerprint; if it is quarantined and one of its losses came after another was known, only that of a probe does. In this case,
// Finish returns the cleared entry, which the caller propagates to other nodes, and true.
func (t *Table) Finish(now time.Duration, fingerprint Fingerprint, target model.TargetID, success bool) (Entry, bool) {
	probe := t.running[target][fingerprint].probe
	if !t.removeRun(fingerprint, target) || !success {
		return Entry{}, false
	}
	t.successes.record(now, fingerprint)
	r := t.records[fingerprint]
	if r == nil || len(r.losses) == 0 || !probe && incriminating(r.losses) >= LossLimit && confirmed(r.losses) || r.isOrdered() {
		return Entry{}, false
	}
	r.clearLosses(now)
	return r.entry(now), true
}

// removeRun removes one run of a fingerprint at the target. It reports whether there was one; RecordLoss removes the
// runs of a lost target.
func (t *Table) removeRun(fingerprint Fingerprint, target model.TargetID) bool {
	runs := t.running[target]
	current := runs[fingerprint]
	if current.count == 0 {
		return false
	}
	if current.count--; current.count > 0 {
		runs[fingerprint] = current
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
