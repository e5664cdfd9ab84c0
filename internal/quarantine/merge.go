package quarantine

import "time"

// Merge merges an entry of another node and reports whether the table changed. Entries may be received in any order and
// more than once.
func (t *Table) Merge(now time.Duration, entry Entry) bool {
	other := fromEntry(now, entry)
	if other.expired(now) {
		return false
	}
	r := t.records[entry.Fingerprint]
	if r == nil || r.epoch < other.epoch {
		t.records[entry.Fingerprint] = other
		t.evictExcess()
		return true
	}
	if r.epoch > other.epoch {
		return false
	}
	changed := false
	for _, loss := range other.losses {
		changed = r.add(loss, other.since) || changed
	}
	changed = r.mergeProbes(other) || changed
	return changed
}

// fromEntry returns the record of an entry that is received now.
func fromEntry(now time.Duration, entry Entry) *record {
	r := &record{fingerprint: entry.Fingerprint, epoch: entry.Epoch, since: now - max(0, entry.Age)}
	for _, loss := range entry.Losses {
		r.losses, _ = insertLoss(r.losses, loss)
	}
	if entry.Probes > 0 {
		r.probes, r.probedAt = entry.Probes, now-max(0, entry.ProbeAge)
	}
	return r
}
